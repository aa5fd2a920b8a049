//! Compares the parsed form of the shipped files and of a file with every table, each also with single values
//! changed, with recordings under `fixtures/`. The recordings contain Debug output and error messages. They
//! were written before the modules were split, to show that the split changed no result, and are adapted when
//! types or fields are renamed.
use serde_json::{Value, json};
use settings::{fleet, operator, platform, start};
use std::fmt::{Debug, Write};

const MYSQL: &str = include_str!("../../deploy/mysql.toml");
const SESSIONS: &str = include_str!("../../deploy/sessions.toml");
const REGISTRY: &str = include_str!("../../deploy/registry.toml");
const FLEET: &str = include_str!("../../deploy/fleet.toml");
const ALL_TABLES: &str = include_str!("fixtures/all_tables.toml");
const AKUREYRI: &str = include_str!("../../deploy/sites/akureyri-skjol/settings.json");
const HAFNARFJORDUR: &str = include_str!("../../deploy/sites/hafnarfjordur-lager/settings.json");

/// Compares texts line by line, so that a failure shows the first line that differs.
fn assert_recorded(name: &str, recorded: &str, found: &str) {
    for (number, (recorded, found)) in recorded.lines().zip(found.lines()).enumerate() {
        assert_eq!(found, recorded, "{name}, line {}", number + 1);
    }
    assert_eq!(found.len(), recorded.len(), "{name}: length");
}

fn toml_value(text: &str) -> Value {
    toml::from_str(text).expect("TOML")
}

/// Returns a platform configuration that contains the settings of a site.
fn platform_config(site_settings: &str) -> Value {
    let settings: Value = serde_json::from_str(site_settings).expect("JSON");
    json!({"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "admin_addr": "127.0.0.1:2",
        "seed": "8c1f", "known": {"version": 1, "full": true, "servers": []},
        "limits": {"memory_mb": 192, "sockets": 256}, "settings": settings})
}

/// Returns the table `[fleet]`, which the shipped document contains as a comment.
fn fleet_member_table() -> Value {
    toml_value(&FLEET.split("#   [fleet]").nth(1).expect("the table").replace("#   ", ""))
}

#[test]
fn shipped_files_are_read_to_the_recorded_values() {
    let mut found = String::new();
    for (name, text) in
        [("mysql", MYSQL), ("sessions", SESSIONS), ("registry", REGISTRY), ("all_tables", ALL_TABLES)]
    {
        writeln!(found, "{name} = {:#?}", operator::read(text)).unwrap();
    }
    writeln!(found, "fleet = {:#?}", fleet::read(FLEET, None)).unwrap();
    writeln!(found, "member = {:#?}", fleet::read_member(&fleet_member_table())).unwrap();
    for (name, text) in [("akureyri-skjol", AKUREYRI), ("hafnarfjordur-lager", HAFNARFJORDUR)] {
        let config = platform_config(text);
        writeln!(found, "{name} = {:#?}", start::read(&config.to_string(), &|_| None)).unwrap();
        writeln!(found, "{name}, adapter = {:#?}", platform::read(&config["settings"])).unwrap();
    }
    assert_recorded("shipped_files", include_str!("fixtures/shipped_files.txt"), &found);
}

#[test]
fn document_is_printed_with_the_recorded_keys() {
    let document = fleet::read(FLEET, None).expect("a valid document");
    let printed = serde_json::to_string_pretty(&document).expect("JSON");
    assert_recorded(
        "printed_document",
        include_str!("fixtures/printed_document.json"),
        &format!("{printed}\n"),
    );
}

/// Collects JSON pointers to the value and all values nested in it; of arrays only the first item.
fn pointers(value: &Value, at: String, all: &mut Vec<String>) {
    match value {
        Value::Object(fields) => fields.iter().for_each(|(key, v)| pointers(v, format!("{at}/{key}"), all)),
        Value::Array(items) => items.iter().take(1).for_each(|v| pointers(v, format!("{at}/0"), all)),
        _ => {}
    }
    all.push(at);
}

/// Returns variants of the value with one nested value removed, replaced, extended or duplicated, each with a
/// description of the change.
fn changes(value: &Value) -> Vec<(String, Value)> {
    let mut all = Vec::new();
    pointers(value, String::new(), &mut all);
    let mut changed = Vec::new();
    for pointer in all.iter().filter(|pointer| !pointer.is_empty()) {
        let (parent, key) = pointer.rsplit_once('/').expect("a pointer with a parent");
        let mut without = value.clone();
        match without.pointer_mut(parent) {
            Some(Value::Object(fields)) => drop(fields.remove(key)),
            Some(Value::Array(items)) => drop(items.remove(0)),
            _ => unreachable!("{parent} contains {pointer}"),
        }
        changed.push((format!("{pointer} removed"), without));
        for other in
            [json!(true), json!(-1), json!(0), json!(0.5), json!(1e12), json!("odd"), json!([]), json!({})]
        {
            let mut with = value.clone();
            *with.pointer_mut(pointer).expect("an existing pointer") = other.clone();
            changed.push((format!("{pointer} = {other}"), with));
        }
        if value.pointer(pointer).is_some_and(Value::is_object) {
            let mut with = value.clone();
            with.pointer_mut(pointer).expect("an existing pointer")["unheard"] = json!(1);
            changed.push((format!("{pointer}/unheard added"), with));
        }
        if let Some(Value::Array(items)) =
            value.pointer(pointer).filter(|v| v.as_array().is_some_and(|a| !a.is_empty()))
        {
            let mut with = value.clone();
            let first = items[0].clone();
            with.pointer_mut(pointer).and_then(Value::as_array_mut).expect("an array").push(first);
            changed.push((format!("{pointer}/0 twice"), with));
        }
    }
    changed
}

/// Returns the error message, or the lines of the Debug output that differ from those of the unchanged value.
fn outcome<T: Debug, E: ToString>(unchanged: &T, read: Result<T, E>) -> String {
    let value = match read {
        Err(error) => return format!("error: {}", error.to_string().replace('\n', "\\n")),
        Ok(value) => value,
    };
    let mut before: Vec<String> = format!("{unchanged:#?}").lines().map(str::to_string).collect();
    let after = format!("{value:#?}");
    let mut different = Vec::new();
    for line in after.lines() {
        match before.iter().position(|known| known == line) {
            Some(at) => drop(before.remove(at)),
            None => different.push(line.trim()),
        }
    }
    format!(
        "read: +[{}] -[{}]",
        different.join(" "),
        before.iter().map(|l| l.trim()).collect::<Vec<_>>().join(" ")
    )
}

fn read_operator(text: &str) -> Result<operator::OperatorConfig, settings::Error> {
    operator::read(text).map(|read| operator::OperatorConfig { parsed_file: Value::Null, ..read })
}

/// Returns the result of a reload with this file as text: keys that require a restart, session peers, and the
/// parts of `[mysql]` that can change at run time.
fn reload_outcome(text: &str, start: &operator::OperatorConfig) -> String {
    match operator::reload(text, None, start) {
        Ok(reload) => {
            let mysql = (&reload.mysql.users, &reload.mysql.rules, reload.mysql.default_group);
            format!("restart {:?}, peers {:?}, {mysql:?}", reload.keys_needing_restart, reload.session_peers)
        }
        Err(_) => "refused".into(),
    }
}

fn operator_changes(text: &str) -> String {
    let start = operator::read(text).expect("a valid file");
    let unchanged = read_operator(text).expect("a valid file");
    let mut found = String::new();
    for (change, value) in changes(&toml_value(text)) {
        let text = toml::to_string(&value).expect("TOML");
        let reading = outcome(&unchanged, read_operator(&text));
        writeln!(found, "{change}: {reading}; reload: {}", reload_outcome(&text, &start)).unwrap();
    }
    found
}

#[test]
fn changed_operator_files_are_accepted_or_rejected_as_recorded() {
    let mut found = operator_changes(ALL_TABLES);
    found.push_str(&operator_changes(REGISTRY));
    assert_recorded("operator_changes", include_str!("fixtures/operator_changes.txt"), &found);
}

#[test]
fn changed_fleet_documents_are_accepted_or_rejected_as_recorded() {
    let unchanged = fleet::read(FLEET, None).expect("a valid document");
    let classes = ["basket-read".to_string()];
    let mut found = String::new();
    for (change, value) in changes(&toml_value(FLEET)) {
        let text = toml::to_string(&value).expect("TOML");
        writeln!(found, "{change}: {}", outcome(&unchanged, fleet::read(&text, None))).unwrap();
        writeln!(found, "{change}, classes: {}", outcome(&unchanged, fleet::read(&text, Some(&classes))))
            .unwrap();
    }
    let table = fleet_member_table();
    let unchanged = fleet::read_member(&table).expect("a valid table");
    for (change, value) in changes(&table) {
        writeln!(found, "member {change}: {}", outcome(&unchanged, fleet::read_member(&value))).unwrap();
    }
    assert_recorded("fleet_changes", include_str!("fixtures/fleet_changes.txt"), &found);
}

#[test]
fn changed_platform_configurations_are_accepted_or_rejected_as_recorded() {
    let read = |config: &Value| {
        start::read(&config.to_string(), &|_| None)
            .map(|read| start::PlatformConfig { parsed_file: Value::Null, ..read })
    };
    let config = platform_config(AKUREYRI);
    let unchanged = read(&config).expect("a valid configuration");
    let mut found = String::new();
    for (change, value) in changes(&config) {
        writeln!(found, "{change}: {}", outcome(&unchanged, read(&value))).unwrap();
    }
    assert_recorded("platform_changes", include_str!("fixtures/platform_changes.txt"), &found);
}
