//! The fleet document and the table `[fleet]` of an operator's file: valid ones are read completely, and
//! errors in invalid ones name the faulty key.
use serde_json::Value;
use settings::fleet::{AuditConfig, MAX_TENANTS, OnLoss, Quota, read, read_member};
use std::collections::BTreeSet;

const VALID: &str = r#"
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
fn document_is_read_completely() {
    let fleet = read(VALID, Some(&["basket-read".into()])).unwrap();
    let tills = &fleet.tenants["tills"];
    assert_eq!(tills.quota, Some(Quota { rate: 500.0, burst: 600, on_loss: OnLoss::Share(0.2) }));
    assert!(
        tills.placement_rules[0].strict
            && !tills.placement_rules[1].strict
            && tills.placement_rules[1].classes.is_none()
    );
    assert!(tills.users.contains("till") && fleet.default_tenant == "everyone");
    let server_sites = BTreeSet::from(["hall-b".to_string()]);
    fleet.check_strict_sites(&server_sites).unwrap();
    assert!(
        fleet
            .check_strict_sites(&BTreeSet::new())
            .unwrap_err()
            .to_string()
            .contains("tenant 'tills'.place[0]")
    );
}

#[test]
fn shipped_document_and_table_are_valid() {
    let text = include_str!("../../deploy/fleet.toml");
    read(text, None).unwrap();
    // The shipped document contains the table `[fleet]` as a comment.
    let table = text.split("#   [fleet]").nth(1).unwrap().replace("#   ", "");
    let table: Value = toml::from_str(&table).unwrap();
    assert_eq!(read_member(&table).unwrap().slot, Some(17));
    let audit: Value = toml::from_str("audit = { lag_ms = 900 }").unwrap();
    let mut changed = table.clone();
    changed["audit"] = audit["audit"].clone();
    assert_eq!(
        read_member(&changed).unwrap().audit,
        Some(AuditConfig { max_lag_ms: 900, ..AuditConfig::default() })
    );
    changed["audit"]["lag_ms"] = 1.into();
    assert!(
        read_member(&changed).unwrap_err().to_string().starts_with("audit.lag_ms: expected 100 to 60000")
    );
    let cases = [("name", "no name"), ("slot", "0"), ("nodes", "x"), ("lists", "1")];
    for (key, found) in cases {
        let mut faulty = table.clone();
        faulty[key] = found.into();
        assert!(read_member(&faulty).is_err(), "{key}");
    }
}

#[test]
fn invalid_document_is_rejected_with_the_key() {
    let too_long = format!("name = \"{}\"", "x".repeat(65));
    let cases = [
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
        ("name = \"everyone\"", &too_long, "tenant[0].name"),
    ];
    for (original, replacement, message) in cases {
        let text = VALID.replacen(original, replacement, 1);
        assert_ne!(text, VALID, "{original}");
        let error = read(&text, Some(&["basket-read".into()])).unwrap_err().to_string();
        assert!(error.contains(message), "{replacement}: {error}");
    }
    let many: String = (0..=MAX_TENANTS).map(|i| format!("[[tenant]]\nname='t{i}'\n")).collect();
    let many = read(&format!("routers = 1\nunnamed = 't0'\n{many}"), None).unwrap_err().to_string();
    assert!(many.starts_with("tenant: expected at most 10000"), "{many}");
}
