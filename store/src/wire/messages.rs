//! The messages between clients and nodes. Messages are sent in the postcard format, which contains neither
//! type nor field names: the order of variants and fields must not change.
use crate::command::{ChangeSet, CommandResponse, Operation, RequestOrigin};
use crate::rejection::Rejection;
use crate::state::Value;
use serde::{Deserialize, Serialize};

/// The consistency of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Consistency {
    /// The read contains every write that was acknowledged by any node before the read was requested.
    Linearizable,
    /// The read returns this node's state, which may be stale, by any amount of time while the node is
    /// partitioned.
    Local,
}

/// A position in the sequence of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchPosition {
    /// The id of the store. Revisions of different stores cannot be compared.
    pub store_id: u64,
    /// The last revision that the client has seen.
    pub revision: u64,
}

/// The consistency, revision and term of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadHeader {
    /// The consistency of the read.
    pub consistency: Consistency,
    /// The revision of the state that was read.
    pub revision: u64,
    /// The leader's term as known to the node.
    pub term: u64,
}

/// A request of a client.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Registers the client and requests an id for its writes.
    RegisterClient,
    /// Reads the value of one key.
    Get {
        /// The key to read.
        key: String,
        /// The consistency of the read.
        consistency: Consistency,
    },
    /// Reads all keys with a prefix, at one revision.
    List {
        /// The prefix of the keys that are listed.
        prefix: String,
        /// The consistency of the read.
        consistency: Consistency,
    },
    /// Executes a write operation.
    Write {
        /// Identifies the write in retries.
        origin: RequestOrigin,
        /// The operation to execute.
        operation: Operation,
    },
    /// Requests the node's id, its leader and the term.
    Status,
    /// Watches the keys with a prefix. The connection is used for nothing else from then on.
    Watch {
        /// The prefix of the keys that are watched.
        prefix: String,
        /// The position after which changes are requested. Without one, all keys are sent first.
        after: Option<WatchPosition>,
    },
}

/// A response of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// The node accepts the connection, after the hello.
    Welcome {
        /// The id of the node.
        node: u64,
    },
    /// The node rejects the connection, because it has the maximum number of connections.
    Busy {
        /// The maximum number of connections.
        max_connections: u64,
    },
    /// The value of a key.
    Value {
        /// The consistency, revision and term of the read.
        header: ReadHeader,
        /// The value; `None` if the key does not exist.
        value: Option<Value>,
    },
    /// A part of a list of keys.
    Keys {
        /// The consistency, revision and term of the read, the same in all parts.
        header: ReadHeader,
        /// The keys and their values.
        entries: Vec<(String, Value)>,
        /// Whether this is the last part of the list of keys.
        last: bool,
    },
    /// A write was committed.
    Written {
        /// The response of the state machine, which may be a rejection.
        response: CommandResponse,
        /// The leader's term as known to the node.
        term: u64,
    },
    /// The status of the node that responds.
    Status {
        /// The id of the node.
        node: u64,
        /// The leader's id, 0 if none is known.
        leader: u64,
        /// The term that the node knows as the current one.
        term: u64,
        /// The revision of the node's state.
        revision: u64,
    },
    /// The request was rejected.
    Rejected(Rejection),
    /// A part of all watched keys, for a watch without a position or one whose changes are no longer
    /// retained.
    Snapshot {
        /// The position after which changes follow, the same in all parts.
        position: WatchPosition,
        /// Whether the watch had a position, and the changes after it are no longer retained.
        compacted: bool,
        /// The keys and their values.
        entries: Vec<(String, Value)>,
        /// Whether this is the last part of the watched keys.
        last: bool,
    },
    /// The changes of watched keys by one command.
    Changes(ChangeSet),
    /// Reports that no watched key has changed. Also sent at intervals to show that the node is alive.
    Progress {
        /// No watched key has changed up to this revision.
        revision: u64,
    },
    /// The watch ends because the node has known no leader for too long; another node may know one.
    NoLeader,
}
