//! The handle to a node. Clones refer to the same node. Writes and confirmed reads pass through the actor's
//! bounded queue; reads of the local state do not.
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

/// The handle to a node. Clones refer to the same node. Writes and confirmed reads pass through the actor's
/// bounded queue; reads of the local state do not.
#[derive(Clone)]
pub struct Store {
    pub(super) sender: Sender<NodeCommand>,
    pub(super) shared: Arc<Shared>,
    pub(super) node: u64,
}

impl Store {
    /// Updates a key. Returns the new version of the key, 0 if the key was deleted.
    ///
    /// # Errors
    /// Any [`Rejection`]. After [`Rejection::Unconfirmed`] the update may still be applied.
    pub fn update(&self, update: Update) -> Result<u64, Rejection> {
        let operation = Operation::Update { update, fencing_token: None, lease_epoch: None };
        match self.propose(Command::Write { origin: None, operation })?.response.result? {
            CommandEffect::Updated { version } => Ok(version),
            _ => Err(Rejection::Unconfirmed),
        }
    }

    /// Applies a client's write. A retry receives the response of the first execution.
    ///
    /// # Errors
    /// A [`Rejection`] if the write was not committed or is not known to be committed. A rejection by the
    /// state machine is returned in the response instead.
    pub fn write(&self, origin: RequestOrigin, operation: Operation) -> Result<CommittedWrite, Rejection> {
        self.propose(Command::Write { origin: Some(origin), operation })
    }

    /// Registers a client.
    ///
    /// # Errors
    /// Same as [`Store::write`].
    pub fn register_client(&self) -> Result<CommittedWrite, Rejection> {
        self.propose(Command::RegisterClient)
    }

    fn propose(&self, command: Command) -> Result<CommittedWrite, Rejection> {
        let (responder, receiver) = bounded(1);
        if self.sender.send(NodeCommand::Propose { command, responder }).is_err() {
            return Err(Rejection::NoQuorum);
        }
        receiver.recv().unwrap_or(Err(Rejection::Unconfirmed))
    }

    /// Changes the address of a peer. The set of nodes cannot be changed.
    pub fn set_peer_address(&self, node: u64, addr: SocketAddr) {
        _ = self.sender.try_send(NodeCommand::SetPeerAddress { node, addr });
    }

    /// The committed keys on this node, which may be stale.
    pub fn state(&self) -> State {
        self.shared.machine().state().clone()
    }

    /// A linearizable read of all keys, which contains every write that was acknowledged by any node before
    /// this call: a majority has confirmed the leader since then, and this node has caught up.
    ///
    /// # Errors
    /// [`Rejection::NoQuorum`] if the leader was not confirmed or this node did not catch up in time.
    pub fn read(&self) -> Result<ConfirmedRead, Rejection> {
        self.confirmed_read().map(|result| result.read)
    }

    /// Like [`Store::read`], but only on the leader: since this call began, a majority has confirmed that
    /// this node leads the returned term. Returns `None` if another node is the leader.
    ///
    /// # Errors
    /// Same as [`Store::read`].
    pub fn read_as_leader(&self) -> Result<Option<ConfirmedRead>, Rejection> {
        if self.known_leader().leader != Some(self.node) {
            return Ok(None);
        }
        self.confirmed_read().map(|result| result.is_leader.then_some(result.read))
    }

    fn confirmed_read(&self) -> Result<ReadResult, Rejection> {
        let (responder, receiver) = bounded(1);
        if self.sender.send(NodeCommand::Read(responder)).is_err() {
            return Err(Rejection::NoQuorum);
        }
        receiver.recv().unwrap_or(Err(Rejection::NoQuorum))
    }

    /// The status of this node, as reported by its actor; without a leader if the node has stopped.
    pub fn status(&self) -> NodeStatus {
        let (responder, receiver) = bounded(1);
        _ = self.sender.send(NodeCommand::Status(responder));
        let KnownLeader { leader, term } = receiver.recv().unwrap_or(KnownLeader { leader: None, term: 0 });
        NodeStatus { node: self.node, leader, term }
    }

    /// The last leader that this node published, without a request to its actor.
    pub fn known_leader(&self) -> KnownLeader {
        self.shared.known_leader()
    }

    /// Returns the changes after a revision, in order, at most `max_count` of them. If there are none yet,
    /// waits until the timeout, after which the result may be empty.
    ///
    /// # Errors
    /// [`Compacted`] if the changes are no longer all retained.
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
