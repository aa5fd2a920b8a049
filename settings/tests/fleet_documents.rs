//! The fleet's document and an operator's `[fleet]`: what is read of good ones, and which key a faulty one is refused by.
use serde_json::Value;
use settings::fleet::{AuditConfig, MAX_TENANTS, OnLoss, Quota, read, read_member};
use std::collections::BTreeSet;

const GOOD: &str = r#"
routers = 300
sites = ["hall-a", "hall-b", "hall-c"]
unnamed = "everyone"
[[tenant]]
name = "everyone"
[[tenant]]
name = "tills"
users = ["till"]
rate = 500.0
burst = 600
on_loss = 0.2
[[tenant.place]]
sites = ["hall-a", "hall-b"]
how = "strict"
classes = ["basket-read"]
[[tenant.place]]
sites = ["hall-c"]
how = "prefer"
"#;

#[test]
fn document_is_read_with_all_its_parts() {
    let fleet = read(GOOD, Some(&["basket-read".into()])).unwrap();
    let tills = &fleet.tenants["tills"];
    assert_eq!(tills.quota, Some(Quota { rate: 500.0, burst: 600, on_loss: OnLoss::Share(0.2) }));
    assert!(
        tills.placement_rules[0].strict
            && !tills.placement_rules[1].strict
            && tills.placement_rules[1].classes.is_none()
    );
    assert!(tills.users.contains("till") && fleet.default_tenant == "everyone");
    let has = BTreeSet::from(["hall-b".to_string()]);
    fleet.has_members(&has).unwrap();
    assert!(fleet.has_members(&BTreeSet::new()).unwrap_err().to_string().contains("tenant 'tills'.place[0]"));
}

#[test]
fn shipped_document_and_table_are_valid() {
    let text = include_str!("../../deploy/fleet.toml");
    read(text, None).unwrap();
    // The table stands there as a comment.
    let table = text.split("#   [fleet]").nth(1).unwrap().replace("#   ", "");
    let table: Value = toml::from_str(&table).unwrap();
    assert_eq!(read_member(&table).unwrap().slot, Some(17));
    let audited: Value = toml::from_str("audit = { lag_ms = 900 }").unwrap();
    let mut with = table.clone();
    with["audit"] = audited["audit"].clone();
    assert_eq!(
        read_member(&with).unwrap().audit,
        Some(AuditConfig { max_lag_ms: 900, ..AuditConfig::default() })
    );
    with["audit"]["lag_ms"] = 1.into();
    assert!(read_member(&with).unwrap_err().to_string().starts_with("audit.lag_ms: expected 100 to 60000"));
    let faults = [("name", "no name"), ("slot", "0"), ("nodes", "x"), ("lists", "1")];
    for (key, found) in faults {
        let mut faulty = table.clone();
        faulty[key] = found.into();
        assert!(read_member(&faulty).is_err(), "{key}");
    }
}

#[test]
fn faulty_document_is_refused_with_the_key() {
    let long = format!("name = \"{}\"", "x".repeat(65));
    let faults = [
        ("routers = 300", "routers = 0", "routers: expected 1 to 10000"),
        ("routers = 300", "routers = 10001", "routers: expected 1 to 10000"),
        ("routers = 300", "router = 300", "router"),
        ("unnamed = \"everyone\"", "unnamed = \"nobody\"", "unnamed: expected the name of one"),
        ("rate = 500.0", "rate = -1.0", "tenant 'tills'.rate"),
        ("rate = 500.0", "rate = nan", "tenant 'tills'.rate"),
        ("rate = 500.0", "rate = 1e12", "tenant 'tills'.rate"),
        ("rate = 500.0\n", "", "tenant 'tills'.rate"),
        ("burst = 600", "burst = 0", "tenant 'tills'.burst"),
        ("burst = 600\n", "", "tenant 'tills'.burst"),
        ("on_loss = 0.2", "on_loss = 0.0", "tenant 'tills'.on_loss"),
        ("on_loss = 0.2", "on_loss = 1.5", "tenant 'tills'.on_loss"),
        ("on_loss = 0.2", "on_loss = \"open\"", "tenant 'tills'.on_loss"),
        ("sites = [\"hall-c\"]", "sites = []", "tenant 'tills'.place[1].sites"),
        ("sites = [\"hall-c\"]", "sites = [\"hall-d\"]", "found 'hall-d'"),
        ("how = \"prefer\"", "how = \"maybe\"", "tenant 'tills'.place[1].how"),
        ("how = \"prefer\"", "how = \"prefer\"\nclasses = [\"basket-read\"]", "class 'basket-read'"),
        ("classes = [\"basket-read\"]\n", "", "all classes that no other rule names"),
        ("\"basket-read\"", "\"basket-reads\"", "tenant 'tills'.place[0].classes"),
        ("name = \"everyone\"", "name = \"everyone\"\nusers = [\"till\"]", "tenant 'everyone'.users"),
        ("name = \"everyone\"", "name = \"tills\"", "'tills' stands twice"),
        ("name = \"everyone\"", "name = \"every one\"", "tenant[0].name"),
        ("name = \"everyone\"", &long, "tenant[0].name"),
    ];
    for (good, bad, says) in faults {
        let text = GOOD.replacen(good, bad, 1);
        assert_ne!(text, GOOD, "{good}");
        let error = read(&text, Some(&["basket-read".into()])).unwrap_err().to_string();
        assert!(error.contains(says), "{bad}: {error}");
    }
    let many: String = (0..=MAX_TENANTS).map(|i| format!("[[tenant]]\nname='t{i}'\n")).collect();
    let many = read(&format!("routers = 1\nunnamed = 't0'\n{many}"), None).unwrap_err().to_string();
    assert!(many.starts_with("tenant: expected at most 10000"), "{many}");
}
