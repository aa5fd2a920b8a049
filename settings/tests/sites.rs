//! The deployments under `deploy/sites/`: the settings with which tests start routers conform to the site
//! files.
use serde_json::{Value, json};
use toml::Table;

const SITES: [(&str, &str, &str); 2] = [
    (
        "hafnarfjordur-lager",
        include_str!("../../deploy/sites/hafnarfjordur-lager/hafnarfjordur-lager.toml"),
        include_str!("../../deploy/sites/hafnarfjordur-lager/settings.json"),
    ),
    (
        "akureyri-skjol",
        include_str!("../../deploy/sites/akureyri-skjol/akureyri-skjol.toml"),
        include_str!("../../deploy/sites/akureyri-skjol/settings.json"),
    ),
];

/// Keywords of the site files and the corresponding keywords of the platform settings.
const KEYWORDS: [(&str, &str); 13] = [
    ("safe", "read_like"),
    ("unsafe", "non_idempotent"),
    ("any", "eventual"),
    ("bounded", "lag_bound"),
    ("session", "causal"),
    ("fresh", "strong"),
    ("write", "mutate"),
    ("none", "silent"),
    ("refuse", "bounce"),
    ("wait", "await"),
    ("carried", "brought"),
    ("remembered", "kept"),
    ("push", "automatic"),
];

fn platform_keyword(word: &toml::Value) -> &'static str {
    let word = word.as_str().expect("a string");
    KEYWORDS.iter().find(|(site, _)| *site == word).map(|(_, wire)| *wire).expect("a known keyword")
}

/// Returns whether the site file allows a value of the settings: `site` is a single value or a range.
fn allows(site: &toml::Value, factor: f64, found: &Value) -> bool {
    let number = |v: &toml::Value| v.as_float().or(v.as_integer().map(|n| n as f64)).map(|x| x * factor);
    let Some(found) = found.as_f64() else { return site.as_bool().is_some_and(|b| *found == json!(b)) };
    match site.as_array() {
        Some(range) => {
            number(&range[0]).is_some_and(|a| a <= found) && number(&range[1]).is_some_and(|b| found <= b)
        }
        None => number(site) == Some(found),
    }
}

#[test]
fn settings_conform_to_site_files() {
    for (name, site, settings) in SITES {
        let site: Table = site.parse().expect("TOML");
        let settings: Value = serde_json::from_str(settings).expect("JSON");
        assert_eq!(site["name"].as_str(), Some(name));
        let family = &site["fam"];
        let site_classes = site["class"].as_array().expect("classes");
        let found_classes = settings["classes"].as_array().expect("classes");
        assert_eq!(site_classes.len(), found_classes.len(), "{name}");
        for (i, (class, found)) in site_classes.iter().zip(found_classes).enumerate() {
            let needs = &family["class"][i];
            assert_eq!(found["name"].as_str(), class["name"].as_str());
            assert_eq!(found["semantics"], platform_keyword(&class["effect"]), "{name}: {i}");
            assert_eq!(settings["extra"]["freshness"][i], platform_keyword(&needs["read"]), "{name}: {i}");
            for (key, wire) in [
                ("aim_ms", "objectiveMs"),
                ("deadline_ms", "deadlineMs"),
                ("worth", "worth"),
                ("late_worth", "lateWorth"),
            ] {
                assert!(allows(&class[key], 1.0, &found[wire]), "{name}: class {i}: {key}");
            }
            if let Some(bound) = needs.get("bound_ms") {
                assert!(allows(bound, 1.0, &settings["extra"]["oldestDataMs"][i]), "{name}: class {i}");
            }
        }
        let zones = site["net"]["zones"].as_array().expect("zones").iter().map(|z| json!(z.as_str()));
        assert_eq!(settings["failureDomains"], json!(zones.collect::<Vec<_>>()), "{name}");
        assert_eq!(settings["extra"]["whenBehind"], platform_keyword(&family["checks"]), "{name}");
        assert_eq!(settings["extra"]["writeMarks"], platform_keyword(&family["tokens"]), "{name}");
        assert_eq!(settings["membershipMode"], platform_keyword(&site["discovery"]["mode"]), "{name}");
        let tier = &site["tier"][0];
        let cold = &tier["kind"][0];
        for (allowed, factor, pointer) in [
            (&site["allow"]["max_attempts"], 1.0, "/limits/mostTries"),
            (&site["allow"]["probes"], 1.0, "/limits/probes"),
            (&site["allow"]["cancel"], 1.0, "/limits/cancel"),
            (&site["allow"]["second_copies"], 1.0, "/limits/mayDuplicate"),
            (&site["allow"]["retry_after"], 1.0, "/limits/retryAfter"),
            (&site["clients"]["max_retry_after_ms"], 1.0, "/limits/maxRetryAfterMs"),
            (&tier["conn"]["idle_s"], 1000.0, "/limits/keepaliveMs"),
            (&tier["conn"]["connect_timeout_ms"], 1.0, "/limits/dialTimeoutMs"),
            (&site["rules"]["drain_grace_ms"], 1.0, "/contract/drainGraceMs"),
            (&site["rules"]["fall_multiple"], 1.0, "/contract/overloadFactor"),
            (&site["rules"]["fall_ms"], 1.0, "/contract/tipAfterMs"),
            (&cold["cold_from"], 1.0, "/contract/coldFrom"),
            (&cold["cold_s"], 1000.0, "/contract/coldMs"),
            (&site["prices"]["probe"], 1.0, "/prices/probe"),
            (&site["day"]["tick_ms"], 1.0, "/roundMs"),
            (&site["scale"]["balancers"], 1.0, "/replicasOfMe"),
        ] {
            let found = settings.pointer(pointer).expect(pointer);
            assert!(allows(allowed, factor, found), "{name}: {pointer}: {found} is not within {allowed}");
        }
        settings::platform::read(&settings).expect("valid settings");
    }
}
