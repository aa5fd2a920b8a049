//! Why a request was rejected.
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Why a request was rejected. Clients receive it as it stands here, and a client's last response, which may be one,
/// is part of a snapshot: the order of the variants and of their fields must not change.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum Rejection {
    /// No majority of nodes is reachable: nothing has changed.
    #[error(
        "refused: no majority of the nodes is there; nothing has changed. Look for the nodes that are down"
    )]
    NoQuorum,
    /// The store has just been created and has no id yet.
    #[error("refused: the store has just begun; try again")]
    NotInitialized,
    /// The key is not at the version that the request expected.
    #[error("refused: the key is at version {current}")]
    VersionMismatch {
        /// The version that it is at; 0 where there is no such key.
        current: u64,
    },
    /// The majority was lost while the command was in flight: it may still be committed.
    #[error("not confirmed: the majority was lost; the change may yet be made. Read it before trying again")]
    Unconfirmed,
    /// The name has been granted again since, or is not remembered any more.
    #[error("fenced: epoch {highest_epoch} of this name is known; whoever holds an older one must let go")]
    Fenced {
        /// The highest epoch that is known of the name.
        highest_epoch: u64,
    },
    /// The lease has ended.
    #[error("the lease of epoch {epoch} has ended; take it anew")]
    LeaseEnded {
        /// Its epoch.
        epoch: u64,
    },
    /// Another client holds the name.
    #[error("the name is held under epoch {epoch}; it is free when that lease ends")]
    LeaseHeld {
        /// The epoch that it is held under.
        epoch: u64,
    },
    /// A key, a value, a name or a time to live is outside of its bounds.
    #[error("out of bounds: {what} must be {min} to {max}")]
    OutOfBounds {
        /// What is, and its unit.
        what: String,
        /// The least that is allowed.
        min: u64,
        /// The most that is allowed.
        max: u64,
    },
    /// The store is full.
    #[error("the store is full: no more than {max} {what}; delete what is not needed")]
    LimitReached {
        /// What there are too many of.
        what: String,
        /// The most that is allowed.
        max: u64,
    },
    /// The client is not known: the store has had too many others since, or is a new one.
    #[error("this client has been forgotten: a write that was under way may have been made")]
    UnknownClient,
    /// A later write of the same client has been applied.
    #[error("write {latest} of this client has been made since; one client has one write under way")]
    StaleSequence {
        /// The sequence number of the latest write.
        latest: u64,
    },
}
