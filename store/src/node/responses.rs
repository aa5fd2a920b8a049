//! What a node responds to its handles.
use crate::command::CommandResponse;
use crate::state::State;

/// A write that was committed and applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommittedWrite {
    /// The response of the state machine, which may be a rejection.
    pub response: CommandResponse,
    /// The leader's term, as far as this node knows.
    pub term: u64,
}

/// A linearizable read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfirmedRead {
    /// The keys.
    pub state: State,
    /// The leader's term.
    pub term: u64,
}

/// A confirmed read, and what it proves of this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadResult {
    /// The read.
    pub read: ConfirmedRead,
    /// A majority has confirmed this node itself, as the leader of this term, after the read was requested.
    pub is_leader: bool,
}

/// The leader that a node knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownLeader {
    /// Its id; `None` where no leader is known.
    pub leader: Option<u64>,
    /// The term.
    pub term: u64,
}

impl KnownLeader {
    /// From the raft library's id of the leader.
    pub(super) fn new(leader: u64, term: u64) -> KnownLeader {
        KnownLeader { leader: Some(leader).filter(|id| *id != raft::INVALID_ID), term }
    }
}

/// The status of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeStatus {
    /// Its id.
    pub node: u64,
    /// The leader's id; `None` where no leader is known.
    pub leader: Option<u64>,
    /// The term.
    pub term: u64,
}
