//! The program `damsonvale`. Without arguments it is one of the platform's routers; `serve FILE` (or the file alone)
//! serves `MySQL` as an operator's file says. `--help` lists the rest.
use std::process::ExitCode;

fn main() -> ExitCode {
    damsonvale::cli::main()
}
