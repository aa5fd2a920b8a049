//! Output of the command line that documentation and scripts rely on: help texts, encoded commands for a
//! store node, and printed times.
use clap::CommandFactory;
use damsonvale::cli::Cli;
use damsonvale::commands::ctl::{Command, encode};
use damsonvale::commands::fleet::timeline::format_time;
use std::fmt::Write;

/// Appends the long help of a command and of all its subcommands.
fn render_help(command: &mut clap::Command, path: &str, text: &mut String) {
    write!(text, "== {path}\n{}", command.render_long_help()).unwrap();
    for subcommand in command.get_subcommands_mut() {
        let path = format!("{path} {}", subcommand.get_name());
        render_help(subcommand, &path, text);
    }
}

#[test]
fn help_of_every_command_matches_fixture() {
    let mut command = Cli::command();
    command.build();
    let mut text = String::new();
    render_help(&mut command, "damsonvale", &mut text);
    assert_eq!(text, include_str!("fixtures/help.txt"));
}

#[test]
fn encoded_ctl_commands_match_fixture() {
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
    assert_eq!(lines, include_str!("fixtures/ctl_commands.jsonl"));
}

#[test]
fn time_is_printed_in_utc_with_milliseconds_including_before_1970() {
    assert_eq!(format_time(1_709_210_096_007_900), "2024-02-29T12:34:56.007");
    assert_eq!(format_time(-1000), "1969-12-31T23:59:59.999");
}
