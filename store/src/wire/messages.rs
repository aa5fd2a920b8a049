//! The messages between clients and nodes. They are sent in the postcard format, which knows neither names of types
//! nor of fields: the order of variants and fields must not change.
use crate::command::{ChangeSet, CommandResponse, Operation, RequestOrigin};
use crate::rejection::Rejection;
use crate::state::Value;
use serde::{Deserialize, Serialize};

/// How consistent a read is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Consistency {
    /// It has every write that was acknowledged anywhere before it was requested.
    Linearizable,
    /// It has what this node has, which may be stale, without a bound while the node is partitioned.
    Local,
}

/// A position in the order of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchPosition {
    /// The id of the store: a revision means nothing in another one.
    pub store_id: u64,
    /// The last revision that has been seen.
    pub revision: u64,
}

/// What the result of a read stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadHeader {
    /// How it was read.
    pub consistency: Consistency,
    /// The revision that was read.
    pub revision: u64,
    /// The leader's term, as far as the node knows.
    pub term: u64,
}

/// What a client requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// An id for the client's writes.
    RegisterClient,
    /// One key.
    Get {
        /// The key.
        key: String,
        /// How it is to be read.
        consistency: Consistency,
    },
    /// All keys with a prefix, at one revision.
    List {
        /// The prefix.
        prefix: String,
        /// How they are to be read.
        consistency: Consistency,
    },
    /// A write.
    Write {
        /// Identifies it, for retries.
        origin: RequestOrigin,
        /// The write.
        operation: Operation,
    },
    /// The node, its leader and the term.
    Status,
    /// The changes of keys with a prefix, on this connection until it ends.
    Watch {
        /// The prefix.
        prefix: String,
        /// Changes after this position; without one, all keys come first.
        after: Option<WatchPosition>,
    },
}

/// What a node responds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// The response to a hello.
    Welcome {
        /// The node.
        node: u64,
    },
    /// Instead of a welcome: the node serves as many clients as it may.
    Busy {
        /// The most that it serves.
        max_connections: u64,
    },
    /// The value of a key.
    Value {
        /// What the read stands for.
        header: ReadHeader,
        /// The value; `None` where there is no such key.
        value: Option<Value>,
    },
    /// A part of a list of keys.
    Keys {
        /// What the read stands for, the same in all parts.
        header: ReadHeader,
        /// Keys and their values.
        entries: Vec<(String, Value)>,
        /// Whether this is the last part.
        last: bool,
    },
    /// A write was committed.
    Written {
        /// The response of the state machine.
        response: CommandResponse,
        /// The leader's term, as far as the node knows.
        term: u64,
    },
    /// The node's status.
    Status {
        /// The node.
        node: u64,
        /// Its leader, 0 for none.
        leader: u64,
        /// The leader's term.
        term: u64,
        /// The revision that the node has.
        revision: u64,
    },
    /// The request was rejected.
    Rejected(Rejection),
    /// A watch: a part of all keys, because it has no position or the changes after it are not retained any more.
    Snapshot {
        /// Changes after this position follow, the same in all parts.
        position: WatchPosition,
        /// Whether there was a position, and the changes after it are not retained any more.
        compacted: bool,
        /// Keys and their values.
        entries: Vec<(String, Value)>,
        /// Whether this is the last part.
        last: bool,
    },
    /// A watch: what one command changed of its keys.
    Changes(ChangeSet),
    /// A watch: its keys have not changed up to a revision, and the node is alive.
    Progress {
        /// The revision.
        revision: u64,
    },
    /// A watch ends: the node has had no leader for too long; another node may have one.
    NoLeader,
}
