//! What handles and peers request of the actor.
use super::reads::ReadReply;
use super::responses::{CommittedWrite, KnownLeader};
use crate::command::Command;
use crate::rejection::Rejection;
use crossbeam_channel::Sender;
use raft::eraftpb::Message;
use std::net::SocketAddr;

/// Receives the response to a proposed command.
pub(super) type WriteReply = Sender<Result<CommittedWrite, Rejection>>;
/// A request of a handle, or a message of a peer.
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
