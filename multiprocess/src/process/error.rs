//! What can go wrong with a process.
use std::io;
use std::time::Duration;
use thiserror::Error;

/// Why a process is of no use.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// It can't be started.
    #[error(
        "{program}: cannot be started ({error}); name the program's path, and look at the bound on processes"
    )]
    Start {
        /// The program's path.
        program: String,
        /// Why it can't be started.
        error: io::Error,
    },
    /// A log line was not written in time.
    #[error("{name} wrote no line with '{text}' within {} s; its last lines: {last_lines}", timeout.as_secs())]
    LogLineMissing {
        /// The process's name in messages.
        name: String,
        /// The text that the line had to contain.
        text: String,
        /// How long it was waited for.
        timeout: Duration,
        /// The last lines of its log.
        last_lines: String,
    },
    /// A command ended with an error.
    #[error("'{arguments}' failed: {output}")]
    Command {
        /// The command's arguments.
        arguments: String,
        /// What it wrote to standard error.
        output: String,
    },
    /// It can't be signalled.
    #[error("{name} cannot be signalled: {error}")]
    Signal {
        /// The process's name in messages.
        name: String,
        /// Why it can't be signalled.
        error: nix::Error,
    },
}

impl ProcessError {
    /// The error for a program that can't be started.
    pub(super) fn start(program: &std::path::Path) -> impl Fn(io::Error) -> ProcessError {
        move |error| ProcessError::Start { program: program.display().to_string(), error }
    }
}
