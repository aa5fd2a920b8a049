//! What instances send to each other.
//!
//! Frames carry these in postcard: values in the order of declaration and no names. Fields and variants may be renamed,
//! but not reordered.
use crate::SessionKey;
use serde::{Deserialize, Serialize};

/// An instance's number, from the configuration.
pub type Instance = u64;

/// Why an instance's commits are not accepted. Log lines print the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RejectionReason {
    /// It is not among this instance's peers.
    NotListed,
    /// A newer start of the same instance is known.
    OlderIncarnation {
        /// The newest one's incarnation.
        newest: u64,
    },
    /// It was looking for another instance at this address.
    WrongInstance,
    /// It belongs to another cluster.
    WrongCluster,
    /// It speaks another version of the protocol.
    WrongVersion,
}

/// What one instance sends to a peer, in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Push {
    /// Commits, numbered without a gap from `first` on.
    Commits {
        /// The first one's number.
        first: u64,
        /// Session and commit, in microseconds of Unix time.
        entries: Vec<(SessionKey, i64)>,
    },
    /// A part of everything held.
    Snapshot {
        /// Session and commit, in microseconds of Unix time.
        entries: Vec<(SessionKey, i64)>,
    },
    /// Everything held up to this number has been sent.
    SnapshotComplete {
        /// The newest commit's number.
        seq: u64,
        /// What every session must see, in microseconds of Unix time.
        floor: Option<i64>,
    },
    /// The answer to a lease request: the lease counts from then.
    LeaseGrant {
        /// When the lease was requested, by the requester's clock, in microseconds.
        requested_at: i64,
    },
}
