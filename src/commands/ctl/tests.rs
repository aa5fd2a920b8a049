//! The commands as the store's control address receives them.
use super::{Asked, command};

#[test]
fn every_command_keeps_its_form_on_the_wire() {
    let key = || "server/db-1".to_string();
    let text = || "a \"quoted\" text".to_string();
    let commands = [
        Asked::Status,
        Asked::List { prefix: None },
        Asked::List { prefix: Some("server/".into()) },
        Asked::Get { key: key() },
        Asked::Set { key: key(), text: text(), version: None },
        Asked::Set { key: key(), text: text(), version: Some(7) },
        Asked::Delete { key: key(), version: None },
        Asked::Delete { key: key(), version: Some(0) },
        Asked::Drain { server: "db-1".into() },
        Asked::Undrain { server: "db-1".into() },
    ];
    let lines: String = commands.iter().map(|asked| format!("{}\n", command(asked))).collect();
    assert_eq!(lines, include_str!("../../../tests/fixtures/ctl_commands.jsonl"));
}
