//! Messages that instances send to each other.
//!
//! The messages are encoded in frames with postcard, which writes values in declaration order, without
//! names: fields and variants may be renamed, but not reordered.
use crate::SessionKey;
use serde::{Deserialize, Serialize};

/// An instance's number, from the configuration.
pub type Instance = u64;

/// Why an instance's commits are rejected. The names of the variants appear in log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RejectionReason {
    /// The connecting instance is not in this instance's list of peers.
    NotListed,
    /// A newer start of the connecting instance is known.
    OlderIncarnation {
        /// The newest known incarnation of the connecting instance.
        newest: u64,
    },
    /// The connecting instance expected another instance at this address.
    WrongInstance,
    /// The connecting instance belongs to another cluster.
    WrongCluster,
    /// The connecting instance uses another version of the protocol.
    WrongVersion,
}

/// A message from an instance to a peer that receives its commits. Pushes are sent in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Push {
    /// Commits with consecutive numbers, starting at `first`.
    Commits {
        /// The first commit's number.
        first: u64,
        /// Sessions and the times of their commits, in microseconds since the Unix epoch.
        entries: Vec<(SessionKey, i64)>,
    },
    /// A part of a snapshot of all stored commits.
    Snapshot {
        /// Sessions and the times of their commits, in microseconds since the Unix epoch.
        entries: Vec<(SessionKey, i64)>,
    },
    /// The end of a snapshot: all stored commits up to `seq` have been sent.
    SnapshotComplete {
        /// The newest commit's number.
        seq: u64,
        /// The commit time that reads of every session must reflect, in microseconds since the Unix epoch.
        floor: Option<i64>,
    },
    /// Grants a requested lease. The lease starts at `requested_at`.
    LeaseGrant {
        /// When the lease was requested, by the requester's clock, in microseconds.
        requested_at: i64,
    },
}
