//! Errors of running a plan.
use super::startup::STARTUP_TIMEOUT;
use crate::process::ProcessError;
use std::io;
use thiserror::Error;

/// An error that ended a run early.
#[derive(Debug, Error)]
pub enum RunError {
    /// A process could not be started or controlled.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// The operating system could not provide a folder, a port or a thread.
    #[error(
        "{operation}: {error}; check the space for temporary files and the limits on processes and files"
    )]
    System {
        /// The operation that failed.
        operation: &'static str,
        /// Error of the operating system.
        error: io::Error,
    },
    /// A router logged a listener address that can't be parsed.
    #[error(
        "{name} logged listener address '{address}', which is not ip:port; use a program of the same build"
    )]
    Address {
        /// Name of the router in error messages.
        name: String,
        /// Logged text that is not an address.
        address: String,
    },
    /// The store elected no leader in time.
    #[error("the store elected no leader within {} s; check this machine's load", STARTUP_TIMEOUT.as_secs())]
    NoLeader,
}

impl RunError {
    /// Returns a function that wraps an operating system error in [`RunError::System`].
    pub(super) fn system(operation: &'static str) -> impl Fn(io::Error) -> RunError {
        move |error| RunError::System { operation, error }
    }
}
