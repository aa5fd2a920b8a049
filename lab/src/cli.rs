//! Commands of `damsonvale-lab`.
use crate::error::Error;
use crate::{count, life, load, processes, run, soak};
use clap::{Parser, Subcommand};

/// Experiments on emulated fleets.
#[derive(Parser)]
#[command(name = "damsonvale-lab", version)]
pub struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays one plan, with one seed or several.
    Run(run::RunArguments),
    /// Plays a plan with several values of one of its keys.
    Sweep(run::SweepArguments),
    /// Sends an open-loop load to a router that runs: synthetic, or from a capture file.
    Load(load::LoadArguments),
    /// Starts many real routers with stand-in servers, and checks what the servers saw.
    Processes(processes::Processes),
    /// Compares the results of two runs or sweeps, case by case.
    Compare(run::CompareArguments),
    /// Prints a plan with every key and its default, to begin from.
    Plan,
    /// Plays real routers under overlapping troubles drawn from a seed, and holds them to their promises.
    Soak(soak::SoakArguments),
    /// Prints one request's whole life from a router's log.
    Life(life::LifeArguments),
    /// Counts what a fleet did, second by second, from its routers' logs (`--logs` of the bench).
    Count(count::CountArguments),
}

impl Cli {
    /// Executes the command of the program's arguments; exits the process if they are none.
    ///
    /// # Errors
    /// The command has failed; the message says why.
    pub fn execute_from_arguments() -> Result<(), Error> {
        match Cli::parse().command {
            Command::Run(arguments) => run::run(&arguments),
            Command::Sweep(arguments) => run::sweep(&arguments),
            Command::Load(arguments) => load::run(&arguments),
            Command::Processes(arguments) => processes::run(&arguments),
            Command::Compare(arguments) => run::compare(&arguments),
            Command::Count(arguments) => count::run(&arguments),
            Command::Life(arguments) => life::run(&arguments),
            Command::Soak(arguments) => soak::run(&arguments),
            Command::Plan => print_default_plan(),
        }
    }
}

fn print_default_plan() -> Result<(), Error> {
    print!("{}", toml::to_string(&simulator::Plan::default())?);
    Ok(())
}
