//! Why a plan was not played to its end.
use super::startup::STARTUP_TIMEOUT;
use crate::process::ProcessError;
use std::io;
use thiserror::Error;

/// Why a plan was not played to its end.
#[derive(Debug, Error)]
pub enum RunError {
    /// A process can't be used.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// The system gives no folder, port or thread.
    #[error(
        "{resource}: {error}; look at the space in the temporary folder and the bounds on processes and open files"
    )]
    System {
        /// What was wanted.
        resource: &'static str,
        /// Why there is none.
        error: io::Error,
    },
    /// A router's log names no address.
    #[error(
        "{name} says that it listens on '{address}', which is no ip:port; use a program of the same build"
    )]
    Address {
        /// The router's name in messages.
        name: String,
        /// What its log has instead.
        address: String,
    },
    /// The store has no leader in time.
    #[error("the store's nodes chose no leader within {} s; look at how busy this machine is", STARTUP_TIMEOUT.as_secs())]
    NoLeader,
}

impl RunError {
    /// The error for a resource that the system does not give.
    pub(super) fn system(resource: &'static str) -> impl Fn(io::Error) -> RunError {
        move |error| RunError::System { resource, error }
    }
}
