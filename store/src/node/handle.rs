//! The handle to a node. Its clones share the node; requests go through the actor's bounded queue, and reads of what
//! this node has do not.
use super::commands::NodeCommand;
use super::responses::{CommittedWrite, ConfirmedRead, KnownLeader, NodeStatus, ReadResult};
use super::shared::Shared;
use crate::change_log::{ChangeLog, Compacted};
use crate::command::{ChangeSet, Command, CommandEffect, Operation, RequestOrigin};
use crate::rejection::Rejection;
use crate::state::{State, Update};
use crossbeam_channel::{Sender, bounded};
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

/// The handle to a node.
#[derive(Clone)]
pub struct Store {
    pub(super) sender: Sender<NodeCommand>,
    pub(super) shared: Arc<Shared>,
    pub(super) node: u64,
}

impl Store {
    /// Updates a key, and returns its new version, 0 where it was deleted.
    ///
    /// # Errors
    /// The [`Rejection`]; with [`Rejection::Unconfirmed`] the update may still be applied.
    pub fn update(&self, update: Update) -> Result<u64, Rejection> {
        let operation = Operation::Update { update, fencing_token: None, lease_epoch: None };
        match self.propose(Command::Write { origin: None, operation })?.response.result? {
            CommandEffect::Updated { version } => Ok(version),
            _ => Err(Rejection::Unconfirmed),
        }
    }

    /// Applies a client's write; a retry gets the first response.
    ///
    /// # Errors
    /// The [`Rejection`] where it was not committed, or is not known to be. One of the state machine is in the response.
    pub fn write(&self, origin: RequestOrigin, operation: Operation) -> Result<CommittedWrite, Rejection> {
        self.propose(Command::Write { origin: Some(origin), operation })
    }

    /// Registers a client.
    ///
    /// # Errors
    /// As for [`Store::write`].
    pub fn register_client(&self) -> Result<CommittedWrite, Rejection> {
        self.propose(Command::RegisterClient)
    }

    fn propose(&self, command: Command) -> Result<CommittedWrite, Rejection> {
        let (reply, receiver) = bounded(1);
        if self.sender.send(NodeCommand::Propose { command, reply }).is_err() {
            return Err(Rejection::NoQuorum);
        }
        receiver.recv().unwrap_or(Err(Rejection::Unconfirmed))
    }

    /// Notes that a peer listens at another address from now on. Which nodes there are stays as it was set up.
    pub fn set_peer_address(&self, node: u64, addr: SocketAddr) {
        _ = self.sender.try_send(NodeCommand::SetPeerAddress { node, addr });
    }

    /// The committed keys that this node has; they may be stale.
    pub fn state(&self) -> State {
        self.shared.machine().state().clone()
    }

    /// The keys with every write that was acknowledged anywhere before this call: a majority has confirmed the leader
    /// since, and this node has caught up with it.
    ///
    /// # Errors
    /// [`Rejection::NoQuorum`] where that did not happen in time.
    pub fn read(&self) -> Result<ConfirmedRead, Rejection> {
        self.confirmed_read().map(|result| result.read)
    }

    /// As [`Store::read`] where this node is the leader: a majority has confirmed, since this call began, that it leads
    /// the term that is returned. `None` where another node leads.
    ///
    /// # Errors
    /// As for [`Store::read`].
    pub fn read_as_leader(&self) -> Result<Option<ConfirmedRead>, Rejection> {
        if self.known_leader().leader != Some(self.node) {
            return Ok(None);
        }
        self.confirmed_read().map(|result| result.is_leader.then_some(result.read))
    }

    fn confirmed_read(&self) -> Result<ReadResult, Rejection> {
        let (reply, receiver) = bounded(1);
        if self.sender.send(NodeCommand::Read(reply)).is_err() {
            return Err(Rejection::NoQuorum);
        }
        receiver.recv().unwrap_or(Err(Rejection::NoQuorum))
    }

    /// The status of this node, from its actor; without a leader where the node has stopped.
    pub fn status(&self) -> NodeStatus {
        let (reply, receiver) = bounded(1);
        _ = self.sender.send(NodeCommand::Status(reply));
        let KnownLeader { leader, term } = receiver.recv().unwrap_or(KnownLeader { leader: None, term: 0 });
        NodeStatus { node: self.node, leader, term }
    }

    /// The leader that this node knew last, without asking its actor.
    pub fn known_leader(&self) -> KnownLeader {
        self.shared.known_leader()
    }

    /// The changes after a revision, in order, `max_count` of them at most. Where there are none yet, waits for them
    /// until the timeout; what it returns then may be empty.
    ///
    /// # Errors
    /// [`Compacted`] where they are not retained any more.
    pub fn wait_for_changes(
        &self,
        after_revision: u64,
        max_count: usize,
        timeout: Duration,
    ) -> Result<Vec<Arc<ChangeSet>>, Compacted> {
        let has_none = |log: &mut ChangeLog| {
            log.last_revision() <= after_revision && log.after(after_revision, 1).is_ok()
        };
        let log = self.shared.change_log();
        let waited = self.shared.changed.wait_timeout_while(log, timeout, has_none);
        let (log, _) = waited.unwrap_or_else(PoisonError::into_inner);
        log.after(after_revision, max_count)
    }
}
