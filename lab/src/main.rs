//! Plays experiments on emulated fleets, and turns them into tables and charts that can be compared.
mod chart;
mod count;
mod error;
mod life;
mod load;
mod processes;
mod run;
mod soak;
mod spread;
mod table;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// Experiments on emulated fleets.
#[derive(Parser)]
#[command(name = "damsonvale-lab", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays one plan, with one seed or several.
    Run(run::Run),
    /// Plays a plan with several values of one of its keys.
    Sweep(run::Sweep),
    /// Sends an open-loop load to a router that runs: synthetic, or from a capture file.
    Load(load::Load),
    /// Starts many real routers with stand-in servers, and checks what the servers saw.
    Processes(processes::Processes),
    /// Compares the results of two runs or sweeps, case by case.
    Compare {
        /// The folder of the earlier results.
        before: PathBuf,
        /// The folder of the later ones.
        after: PathBuf,
        /// Draws how evenly both spread their load into this SVG file.
        #[arg(long)]
        spread: Option<PathBuf>,
    },
    /// Prints a plan with every key and its default, to begin from.
    Plan,
    /// Plays real routers under overlapping troubles drawn from a seed, and holds them to their promises.
    Soak(soak::Soak),
    /// Prints one request's whole life from a router's log.
    Life(life::Life),
    /// Counts what a fleet did, second by second, from its routers' logs (`--logs` of the bench).
    Count(count::Count),
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Run(asked) => run::run(&asked),
        Command::Sweep(asked) => run::sweep(&asked),
        Command::Load(asked) => load::run(&asked),
        Command::Processes(asked) => processes::run(&asked),
        Command::Compare { before, after, spread } => run::compare(&before, &after, spread.as_deref()),
        Command::Count(asked) => count::run(&asked),
        Command::Life(asked) => life::run(&asked),
        Command::Soak(asked) => soak::run(&asked),
        Command::Plan => {
            toml::to_string(&simulator::Plan::default()).map_err(Into::into).map(|text| print!("{text}"))
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("damsonvale-lab: {e}");
            ExitCode::FAILURE
        }
    }
}
