//! Parses the command line and runs the selected sub-command.
use crate::commands::{self, capture, check, ctl, fleet, platform, registry, serve, sessions};
use crate::log;
use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// The command line. Help is given as text instead of a doc comment where a doc comment would have to put a
/// word into backticks, which the help would show.
#[derive(Parser)]
#[command(
    name = "damsonvale",
    about = "A router in front of database primaries and their replicas",
    long_about = "A router in front of database primaries and their replicas.\n\n\
                  Without arguments it is a router of the platform, told by $BALANCER_CONFIG.",
    version,
    args_conflicts_with_subcommands = true
)]
pub struct Cli {
    /// An operator's file to serve, as `serve FILE` does.
    file: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    #[command(about = "Serves MySQL as an operator's file says")]
    Serve(FileArgument),
    /// Checks an operator's file and says what it sets up; exit code 1 and the faulty key where it can't be
    /// used.
    Check(FileArgument),
    /// Reads or changes the store of a router that runs.
    Ctl(ctl::Arguments),
    /// Sets, shows and takes back the fleet's configuration in the store.
    #[command(subcommand)]
    Fleet(fleet::Command),
    #[command(about = "Lists the MySQL requests of a capture file")]
    Requests(FileArgument),
    #[command(about = "Sends a capture's requests through a router; the password is in $DAMSONVALE_PASSWORD")]
    Replay(capture::ReplayArguments),
    /// Looks at the registry that an operator's file names, and changes what stands there.
    Registry(registry::Arguments),
    /// Looks at what sessions must see: a folder offline, or an instance that runs.
    #[command(subcommand)]
    Sessions(sessions::Command),
}

#[derive(Args)]
struct FileArgument {
    /// The file.
    file: PathBuf,
}

/// Runs the program with its command-line arguments. On failure, the error is reported in the log, or on
/// standard error if the log was not initialized yet.
pub fn main() -> ExitCode {
    crate::allocator::limit_retained_memory();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::report_exit(&error);
            ExitCode::FAILURE
        }
    }
}

/// Parses the arguments and runs the selected sub-command.
fn run() -> Result<(), commands::Error> {
    // The platform starts routers without arguments. Skipping the argument parser saves the memory of its
    // code.
    if std::env::args_os().len() == 1 {
        return platform::run();
    }
    let cli = Cli::parse();
    match cli.command {
        None => cli.file.map_or_else(platform::run, |file| serve::run(&file)),
        Some(Command::Serve(argument)) => serve::run(&argument.file),
        Some(Command::Check(argument)) => check::run(&argument.file),
        Some(Command::Ctl(arguments)) => ctl::run(&arguments),
        Some(Command::Fleet(command)) => fleet::run(&command),
        Some(Command::Requests(argument)) => capture::list_requests(&argument.file),
        Some(Command::Replay(arguments)) => capture::replay(&arguments),
        Some(Command::Registry(arguments)) => registry::run(&arguments),
        Some(Command::Sessions(command)) => sessions::run(&command),
    }
}
