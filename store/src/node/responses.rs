//! The responses of a node to its handles.
use crate::command::CommandResponse;
use crate::state::State;

/// A write that was committed and applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommittedWrite {
    /// The state machine's response, which may be a rejection.
    pub response: CommandResponse,
    /// The leader's term as known to this node.
    pub term: u64,
}

/// The result of a linearizable read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfirmedRead {
    /// The store's state with all keys.
    pub state: State,
    /// The term of the leader.
    pub term: u64,
}

/// A confirmed read, and whether it confirmed this node's leadership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadResult {
    /// The result of the read.
    pub read: ConfirmedRead,
    /// Whether a majority has confirmed this node as the leader of this term after the read was requested.
    pub is_leader: bool,
}

/// The leader as known to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownLeader {
    /// The leader's id; `None` if no leader is known.
    pub leader: Option<u64>,
    /// The term that the node knows as the current one.
    pub term: u64,
}

impl KnownLeader {
    /// Converts the raft library's leader id.
    pub(super) fn new(leader: u64, term: u64) -> KnownLeader {
        KnownLeader { leader: Some(leader).filter(|id| *id != raft::INVALID_ID), term }
    }
}

/// The status of a node: its id, and the leader and term that it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeStatus {
    /// The id of the node that reports its status.
    pub node: u64,
    /// The leader's id; `None` if no leader is known.
    pub leader: Option<u64>,
    /// The term that the node knows as the current one.
    pub term: u64,
}
