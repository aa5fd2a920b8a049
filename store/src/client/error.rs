//! Errors of client calls.
use crate::rejection::Rejection;
use thiserror::Error;

/// Why a call failed.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The store rejected the request.
    #[error(transparent)]
    Rejected(#[from] Rejection),
    /// No node responded in time. Nothing has changed.
    #[error(
        "no store node responded in time: {0}; check that a majority of the nodes is running and \
         listens on the configured addresses"
    )]
    Unavailable(String),
    /// The write was not confirmed, but may have been applied.
    #[error("the write was not confirmed and may have been applied: {0}; read the key before writing again")]
    Unconfirmed(String),
    /// The settings contain no node.
    #[error("no store node is configured; list the addresses where the nodes listen for clients")]
    NoNodes,
    /// A node sent a response of another type than was requested.
    #[error("a node sent an unexpected response; run the same program version on both sides")]
    UnexpectedResponse,
    /// A thread could not be started.
    #[error("cannot start a thread: {0}; raise this user's process limit")]
    SpawnThread(#[from] std::io::Error),
}
