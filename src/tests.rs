//! The command line's help, which pages and scripts quote.
use super::Cli;
use clap::CommandFactory;

/// The long help of a command and of every command below it.
fn render_help(command: &mut clap::Command, path: &str, text: &mut String) {
    text.push_str(&format!("== {path}\n{}", command.render_long_help()));
    for subcommand in command.get_subcommands_mut() {
        let path = format!("{path} {}", subcommand.get_name());
        render_help(subcommand, &path, text);
    }
}

#[test]
fn help_of_every_command_keeps_its_text() {
    let mut command = Cli::command();
    command.build();
    let mut text = String::new();
    render_help(&mut command, "damsonvale", &mut text);
    assert_eq!(text, include_str!("../tests/fixtures/help.txt"));
}
