//! The program `damsonvale-lab`; its commands are in the library.
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
