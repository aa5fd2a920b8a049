//! Why a request was rejected.
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Why a request was rejected. Clients receive it in serialized form, and snapshots contain it as part of a
/// client's last response: the order of the variants and of their fields must not change.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum Rejection {
    /// No majority of nodes is reachable. Nothing has changed.
    #[error(
        "refused: no majority of the nodes is there; nothing has changed. Look for the nodes that are down"
    )]
    NoQuorum,
    /// The store is new and its id has not been committed yet.
    #[error("refused: the store has just begun; try again")]
    NotInitialized,
    /// The key's version differs from the expected one.
    #[error("refused: the key is at version {current}")]
    VersionMismatch {
        /// The key's version; 0 if the key does not exist.
        current: u64,
    },
    /// The majority was lost while the command was in flight. The command may still be committed.
    #[error("not confirmed: the majority was lost; the change may yet be made. Read it before trying again")]
    Unconfirmed,
    /// A newer lease of this name has been granted, or the name's record has been evicted.
    #[error("fenced: epoch {highest_epoch} of this name is known; whoever holds an older one must let go")]
    Fenced {
        /// The highest known epoch of the name.
        highest_epoch: u64,
    },
    /// The lease has ended.
    #[error("the lease of epoch {epoch} has ended; take it anew")]
    LeaseEnded {
        /// The epoch of the lease.
        epoch: u64,
    },
    /// Another client holds the name.
    #[error("the name is held under epoch {epoch}; it is free when that lease ends")]
    LeaseHeld {
        /// The epoch of the lease that holds the name.
        epoch: u64,
    },
    /// The length of a key, value or name, or a time to live, is out of bounds.
    #[error("out of bounds: {what} must be {min} to {max}")]
    OutOfBounds {
        /// The quantity and its unit.
        what: String,
        /// The smallest allowed quantity.
        min: u64,
        /// The largest allowed quantity.
        max: u64,
    },
    /// A limit on the size of the store has been reached.
    #[error("the store is full: no more than {max} {what}; delete what is not needed")]
    LimitReached {
        /// A description of the quantity that is limited.
        what: String,
        /// The largest allowed quantity.
        max: u64,
    },
    /// The client id is unknown: the client was evicted because too many others registered, or the id belongs
    /// to another store.
    #[error("this client has been forgotten: a write that was under way may have been made")]
    UnknownClient,
    /// A later write of the same client has been applied.
    #[error("write {latest} of this client has been made since; one client has one write under way")]
    StaleSequence {
        /// The sequence number of the latest write.
        latest: u64,
    },
}
