//! The program `damsonvale-lab`; the library implements its commands.
use damsonvale_lab::cli::Cli;
use std::process::ExitCode;

fn main() -> ExitCode {
    match Cli::execute_from_arguments() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("damsonvale-lab: {error}");
            ExitCode::FAILURE
        }
    }
}
