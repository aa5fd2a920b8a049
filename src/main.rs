//! The router's program: one file for each sub-command under `commands`, wiring only.
//!
//! Without arguments it is one of the platform's routers; `serve FILE` (or the file alone) serves MySQL as an
//! operator's file says. `--help` lists the rest.
mod commands;
mod log;
mod signals;

use clap::{Args, Parser, Subcommand};
use commands::{capture, check, ctl, fleet, platform, registry, serve, sessions};
use std::path::PathBuf;
use std::process::ExitCode;

/// A router in front of database primaries and their replicas.
///
/// Without arguments it is a router of the platform, told by $BALANCER_CONFIG.
#[derive(Parser)]
#[command(name = "damsonvale", version, args_conflicts_with_subcommands = true)]
struct Cli {
    /// An operator's file to serve, as `serve FILE` does.
    file: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Serves MySQL as an operator's file says.
    Serve(File),
    /// Checks an operator's file and says what it sets up; exit code 1 and the faulty key where it can't be used.
    Check(File),
    /// Reads or changes the store of a router that runs.
    Ctl(ctl::Arguments),
    /// Sets, shows and takes back the fleet's configuration in the store.
    #[command(subcommand)]
    Fleet(fleet::Command),
    /// Lists the MySQL requests of a capture file.
    Requests(File),
    /// Sends a capture's requests through a router; the password is in $DAMSONVALE_PASSWORD.
    Replay(capture::Replay),
    /// Looks at the registry that an operator's file names, and changes what stands there.
    Registry(registry::Arguments),
    /// Looks at what sessions must see: a folder offline, or an instance that runs.
    #[command(subcommand)]
    Sessions(sessions::Command),
}

#[derive(Args)]
struct File {
    /// The file.
    file: PathBuf,
}

fn run() -> Result<(), commands::Error> {
    // The platform's call: what reads arguments need not even be paged in there.
    if std::env::args_os().len() == 1 {
        return platform::run();
    }
    let cli = Cli::parse();
    match cli.command {
        None => cli.file.map_or_else(platform::run, |file| serve::run(&file)),
        Some(Command::Serve(f)) => serve::run(&f.file),
        Some(Command::Check(f)) => check::run(&f.file),
        Some(Command::Ctl(arguments)) => ctl::run(&arguments),
        Some(Command::Fleet(command)) => fleet::run(&command),
        Some(Command::Requests(f)) => capture::requests(&f.file),
        Some(Command::Replay(asked)) => capture::replay(&asked),
        Some(Command::Registry(arguments)) => registry::run(&arguments),
        Some(Command::Sessions(command)) => sessions::run(command),
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::last(&e.to_string());
            ExitCode::FAILURE
        }
    }
}

#[cfg(test)]
mod tests;
