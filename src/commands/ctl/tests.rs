//! The commands as the store's control address receives them.
use super::{Command, encode};

#[test]
fn encoded_command_keeps_its_form() {
    let key = || "server/db-1".to_string();
    let text = || "a \"quoted\" text".to_string();
    let commands = [
        Command::Status,
        Command::List { prefix: None },
        Command::List { prefix: Some("server/".into()) },
        Command::Get { key: key() },
        Command::Set { key: key(), text: text(), version: None },
        Command::Set { key: key(), text: text(), version: Some(7) },
        Command::Delete { key: key(), version: None },
        Command::Delete { key: key(), version: Some(0) },
        Command::Drain { server: "db-1".into() },
        Command::Undrain { server: "db-1".into() },
    ];
    let lines: String = commands.iter().map(|command| format!("{}\n", encode(command))).collect();
    assert_eq!(lines, include_str!("../../../tests/fixtures/ctl_commands.jsonl"));
}
