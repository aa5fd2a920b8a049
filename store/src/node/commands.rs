//! What handles and peers request of the actor.
use super::responses::{CommittedWrite, ConfirmedRead, KnownLeader};
use crate::command::Command;
use crate::rejection::Rejection;
use crossbeam_channel::Sender;
use raft::eraftpb::Message;
use std::net::SocketAddr;

/// Receives the response to a proposed command.
pub(super) type WriteReply = Sender<Result<CommittedWrite, Rejection>>;
/// Receives the state once a majority has confirmed the leader.
pub(super) type ReadReply = Sender<Result<ReadResult, Rejection>>;

/// A confirmed read, and what it proves of this node.
pub(super) struct ReadResult {
    pub(super) read: ConfirmedRead,
    /// A majority has confirmed this node itself, as the leader of this term, after the read was requested.
    pub(super) is_leader: bool,
}

pub(super) enum NodeCommand {
    /// A peer has sent a raft message.
    Receive(Box<Message>),
    Propose {
        command: Command,
        reply: WriteReply,
    },
    Read(ReadReply),
    Status(Sender<KnownLeader>),
    /// A peer listens at another address from now on.
    SetPeerAddress {
        node: u64,
        addr: SocketAddr,
    },
}
