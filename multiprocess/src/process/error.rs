//! Errors of starting and controlling processes.
use std::io;
use std::time::Duration;
use thiserror::Error;

/// An error of starting or controlling a process.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// The process can't be started.
    #[error("cannot start {program} ({error}); check the path of the program and the limit on processes")]
    Start {
        /// Path of the program.
        program: String,
        /// Error of the operating system.
        error: io::Error,
    },
    /// The process did not write an expected log line in time.
    #[error("{name} logged no '{text}' within {} s; last log lines: {last_lines}", timeout.as_secs())]
    LogLineMissing {
        /// Name of the process in error messages.
        name: String,
        /// Text that the log line has to contain.
        text: String,
        /// Maximum time to wait for the line.
        timeout: Duration,
        /// Last lines of the process's log.
        last_lines: String,
    },
    /// A command exited with an error.
    #[error("command '{arguments}' failed: {output}")]
    Command {
        /// Arguments of the command.
        arguments: String,
        /// Standard error of the command.
        output: String,
    },
    /// A signal can't be sent to the process.
    #[error("cannot send a signal to {name}: {error}")]
    Signal {
        /// Name of the process in error messages.
        name: String,
        /// Error of the operating system.
        error: nix::Error,
    },
}

impl ProcessError {
    /// Returns a function that wraps an operating system error in [`ProcessError::Start`].
    pub(super) fn start(program: &std::path::Path) -> impl Fn(io::Error) -> ProcessError {
        move |error| ProcessError::Start { program: program.display().to_string(), error }
    }
}
