//! The commands that handles and peers send to the actor.
use super::reads::ReadResponder;
use super::responses::{CommittedWrite, KnownLeader};
use crate::command::Command;
use crate::rejection::Rejection;
use crossbeam_channel::Sender;
use raft::eraftpb::Message;
use std::net::SocketAddr;

/// Channel for the response to a proposed command.
pub(super) type WriteResponder = Sender<Result<CommittedWrite, Rejection>>;
/// A request of a handle or a message of a peer.
pub(super) enum NodeCommand {
    /// A raft message was received from a peer.
    Receive(Box<Message>),
    Propose {
        command: Command,
        responder: WriteResponder,
    },
    Read(ReadResponder),
    Status(Sender<KnownLeader>),
    /// The address of a peer has changed.
    SetPeerAddress {
        node: u64,
        addr: SocketAddr,
    },
}
