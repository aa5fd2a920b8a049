//! The deployments under `deploy/sites/`: the settings that tests start routers with lie within the site files.
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

/// The site file's word, and the wire's.
const WORDS: [(&str, &str); 13] = [
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

fn wire(word: &toml::Value) -> &'static str {
    let word = word.as_str().expect("a word");
    WORDS.iter().find(|(site, _)| *site == word).map(|(_, wire)| *wire).expect("a known word")
}

/// Whether a figure of the settings is one that the site file allows: its one, or one of its range.
fn allows(site: &toml::Value, factor: f64, said: &Value) -> bool {
    let number = |v: &toml::Value| v.as_float().or(v.as_integer().map(|n| n as f64)).map(|x| x * factor);
    let Some(said) = said.as_f64() else { return site.as_bool().is_some_and(|b| *said == json!(b)) };
    match site.as_array() {
        Some(range) => {
            number(&range[0]).is_some_and(|a| a <= said) && number(&range[1]).is_some_and(|b| said <= b)
        }
        None => number(site) == Some(said),
    }
}

#[test]
fn site_settings_lie_within_their_site_files() {
    for (name, site, settings) in SITES {
        let site: Table = site.parse().expect("TOML");
        let settings: Value = serde_json::from_str(settings).expect("JSON");
        assert_eq!(site["name"].as_str(), Some(name));
        let fam = &site["fam"];
        let listed = site["class"].as_array().expect("classes");
        let said = settings["classes"].as_array().expect("classes");
        assert_eq!(listed.len(), said.len(), "{name}");
        for (i, (class, said)) in listed.iter().zip(said).enumerate() {
            let needs = &fam["class"][i];
            assert_eq!(said["name"].as_str(), class["name"].as_str());
            assert_eq!(said["semantics"], wire(&class["effect"]), "{name}: {i}");
            assert_eq!(settings["extra"]["freshness"][i], wire(&needs["read"]), "{name}: {i}");
            for (key, wire) in [
                ("aim_ms", "objectiveMs"),
                ("deadline_ms", "deadlineMs"),
                ("worth", "worth"),
                ("late_worth", "lateWorth"),
            ] {
                assert!(allows(&class[key], 1.0, &said[wire]), "{name}: class {i}: {key}");
            }
            if let Some(bound) = needs.get("bound_ms") {
                assert!(allows(bound, 1.0, &settings["extra"]["oldestDataMs"][i]), "{name}: class {i}");
            }
        }
        let zones = site["net"]["zones"].as_array().expect("zones").iter().map(|z| json!(z.as_str()));
        assert_eq!(settings["failureDomains"], json!(zones.collect::<Vec<_>>()), "{name}");
        assert_eq!(settings["extra"]["whenBehind"], wire(&fam["checks"]), "{name}");
        assert_eq!(settings["extra"]["writeMarks"], wire(&fam["tokens"]), "{name}");
        assert_eq!(settings["membershipMode"], wire(&site["discovery"]["mode"]), "{name}");
        let tier = &site["tier"][0];
        let cold = &tier["kind"][0];
        for (figure, factor, place) in [
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
            let said = settings.pointer(place).expect(place);
            assert!(allows(figure, factor, said), "{name}: {place}: {said} is none of {figure}");
        }
        settings::platform::read(&settings).expect("settings that can be read");
    }
}
