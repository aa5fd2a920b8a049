//! What can go wrong with membership.
use crate::limits::MAX_NAME_BYTES;
use std::net::SocketAddrV4;

/// Why membership could not start, or was refused; each message says what an operator can do.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The name is empty, too long, or has characters outside the permitted ones.
    #[error(
        "the name {0:?} of a router must have 1 to {MAX_NAME_BYTES} letters, digits, '.', '_' or '-': rename it"
    )]
    InvalidName(String),
    /// The address is not on loopback, or has no port.
    #[error("{0} cannot be a member's address: give an address of 127.0.0.0/8 with a port")]
    InvalidAddress(SocketAddrV4),
    /// The generation, or the incarnation that follows from it, leaves no headroom to rise.
    #[error("the start {0} is too large: give the start time in milliseconds, or a count of starts")]
    GenerationTooLarge(u64),
    /// Settings that contradict each other.
    #[error("membership settings: {0}")]
    InvalidSettings(&'static str),
    /// The socket could not be bound.
    #[error("cannot listen for members on {addr}: {source}; free the port, or set another")]
    Bind {
        /// The address that was to be bound.
        addr: SocketAddrV4,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The thread could not be started.
    #[error("cannot start the membership thread: {0}; raise the bound on processes (ulimit -u)")]
    SpawnThread(std::io::Error),
    /// The thread has ended: the router left, was superseded, or its socket failed.
    #[error("membership has ended here; start it again under a new incarnation")]
    Ended,
}
