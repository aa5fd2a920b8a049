//! Errors of starting or using the membership.
use crate::limits::MAX_NAME_BYTES;
use std::net::SocketAddrV4;

/// Errors of starting or using membership. Each message tells the operator what to do.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The name is empty, too long, or has characters that are not permitted.
    #[error("invalid router name {0:?}: use 1 to {MAX_NAME_BYTES} letters, digits, '.', '_' or '-'")]
    InvalidName(String),
    /// The address is not a loopback address, or has no port.
    #[error("invalid member address {0}: use an address in 127.0.0.0/8 with a port")]
    InvalidAddress(SocketAddrV4),
    /// The generation or the incarnation is so high that it can't be increased any further.
    #[error("generation {0} is too large: use the start time in milliseconds or a count of starts")]
    GenerationTooLarge(u64),
    /// The settings are inconsistent.
    #[error("membership settings: {0}")]
    InvalidSettings(&'static str),
    /// The socket could not be bound.
    #[error("cannot bind the membership socket to {addr}: {source}; free the port or set another one")]
    Bind {
        /// The address of the socket.
        addr: SocketAddrV4,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The membership thread could not be started.
    #[error("cannot start the membership thread: {0}; raise the process limit (ulimit -u)")]
    SpawnThread(std::io::Error),
    /// The membership thread has ended because the router left, was superseded, or its socket failed.
    #[error("membership of this router has ended; restart the router")]
    Ended,
}
