//! The program `damsonvale`. Without arguments it runs a router of the platform; `serve FILE` (or just
//! `FILE`) runs a `MySQL` router configured by an operator's file. `--help` lists the other sub-commands.
use std::process::ExitCode;

fn main() -> ExitCode {
    damsonvale::cli::main()
}
