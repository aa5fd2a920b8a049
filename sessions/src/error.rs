//! Why an instance does not start, and why a running one can't be asked for its status.
use crate::journal::JournalError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// Why an instance does not start; each message says what an operator can do.
#[derive(Debug, Error)]
pub enum Error {
    /// The address for peers can't be bound.
    #[error(
        "sessions: {addr}: {source}; see who else listens there, or name another address in sessions.listen"
    )]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The folder can't be used.
    #[error("sessions: {0}")]
    Journal(#[from] JournalError),
    /// No thread could be started.
    #[error("sessions: no thread: {0}; raise the limit of processes of this user")]
    Thread(io::Error),
}

/// Why a running instance could not be asked for its status.
#[derive(Debug, Error)]
pub enum StatusError {
    /// It can't be reached, or did not answer in time.
    #[error("{addr}: {source}")]
    Unreachable {
        /// The address.
        addr: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// Something else listens there.
    #[error("{0}: no instance of sessions answers there; give what sessions.listen says in its file")]
    NotAnInstance(SocketAddr),
}
