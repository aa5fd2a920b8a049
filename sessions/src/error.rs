//! Errors of an instance's start and of a status request to a running instance.
use crate::journal::JournalError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// Errors that prevent an instance from starting. Each message tells the operator what to do.
#[derive(Debug, Error)]
pub enum Error {
    /// The listen address for session peers can't be bound.
    #[error(
        "sessions: cannot listen on {addr}: {source}; free this address or set another one in sessions.listen"
    )]
    Listen {
        /// The address from `sessions.listen`.
        addr: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The journal's folder can't be used.
    #[error("sessions: {0}")]
    Journal(#[from] JournalError),
    /// A thread could not be started.
    #[error("sessions: cannot start a thread: {0}; raise this user's limit of processes")]
    Thread(io::Error),
}

/// Errors of a status request to a running instance.
#[derive(Debug, Error)]
pub enum StatusError {
    /// The instance can't be reached, or did not respond in time.
    #[error("{addr}: {source}")]
    Unreachable {
        /// The address at which the status was requested.
        addr: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// Another program listens on the address.
    #[error("{0}: no sessions instance listens here; use the address of sessions.listen in its file")]
    NotAnInstance(SocketAddr),
}
