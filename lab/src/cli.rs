//! Command line of `damsonvale-lab`.
use crate::error::Error;
use crate::{count, life, load, processes, run, soak};
use clap::{Parser, Subcommand};

/// Experiments on simulated fleets and on real router processes
#[derive(Parser)]
#[command(name = "damsonvale-lab", version)]
pub struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs the simulation of a plan, with one seed or several.
    Run(run::RunArguments),
    /// Runs the simulation of a plan with several values of one key.
    Sweep(run::SweepArguments),
    /// Sends an open-loop load to a running router, either synthetic or from a capture file.
    Load(load::LoadArguments),
    /// Starts many router processes with fake servers, and checks the statements that the servers recorded.
    Processes(processes::ProcessesArguments),
    /// Compares the results of two runs or sweeps case by case.
    Compare(run::CompareArguments),
    /// Prints a plan with every key and its default value, as a template.
    Plan,
    /// Runs router processes under overlapping faults generated from a seed, and checks their guarantees.
    Soak(soak::SoakArguments),
    /// Prints all lines of one request from a router's log.
    Life(life::LifeArguments),
    /// Counts requests, attempts and other events of a fleet for each second, from its routers' logs
    /// (`--logs` of the bench).
    Count(count::CountArguments),
}

impl Cli {
    /// Runs the command given by the program's arguments; exits the process if the arguments are invalid.
    ///
    /// # Errors
    /// Returns the error of the command.
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
