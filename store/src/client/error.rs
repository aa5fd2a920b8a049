//! Why a call of a client has no result.
use crate::rejection::Rejection;
use thiserror::Error;

/// Why a call has no result.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The store has rejected the request.
    #[error(transparent)]
    Rejected(#[from] Rejection),
    /// No node has responded in time, and nothing has changed.
    #[error("no node of the store has answered in time: {0}; look whether a majority runs and listens there")]
    Unavailable(String),
    /// The write may have been applied.
    #[error("the write is not confirmed and may have been made: {0}; read before writing again")]
    Unconfirmed(String),
    /// The settings name no node.
    #[error("no node of the store is named; list where they answer clients")]
    NoNodes,
    /// A node has responded something else than was requested.
    #[error("a node has answered something else than was asked for; run the same program on both sides")]
    UnexpectedResponse,
    /// No thread could be started.
    #[error("no thread: {0}; raise the limit of processes of this user")]
    SpawnThread(#[from] std::io::Error),
}
