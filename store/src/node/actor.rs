//! The actor of a node: one thread that owns the raft state and the log file. This file contains its state,
//! its loop and the command handlers; `ready.rs` processes the output of the raft library.
use super::commands::{NodeCommand, WriteResponder};
use super::reads::{PendingReads, ReadResponder};
use super::responses::KnownLeader;
use super::settings::Settings;
use super::storage::RaftStorage;
use crate::command::{Command, Operation};
use crate::lease_timers::{LeaseTimerEvent, LeaseTimers};
use crate::limits::TICK_MS;
use crate::log_file::LogFile;
use crate::peers;
use crate::rejection::Rejection;
use crate::state::{State, Update};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use raft::eraftpb::Message;
use raft::{RawNode, StateRole};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The time unit of raft's election and heartbeat timeouts and of the leader's lease countdowns.
const TICK: Duration = Duration::from_millis(TICK_MS);
/// Writes that are not committed and reads that are not confirmed within this time are rejected.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of commands per iteration of the loop, whose log entries are synced together.
const MAX_BATCH: usize = 256;
/// The key that marks a store whose seed keys have been written.
const SEEDED_KEY: &str = "seeded";
const SEEDED_TEXT: &str = "yes";

/// A proposed command that waits to be committed and applied.
pub(super) struct PendingWrite {
    pub(super) responder: WriteResponder,
    proposed_at: Instant,
}

/// The state that the actor's thread owns.
pub(super) struct Node {
    pub(super) raft: RawNode<RaftStorage>,
    pub(super) storage: RaftStorage,
    /// The log file; `None` for a node whose log is only in memory.
    pub(super) log_file: Option<LogFile>,
    /// The queue of the sender thread of each peer, keyed by node id.
    pub(super) peers: HashMap<u64, Sender<Message>>,
    /// The pending writes, keyed by the request id, which is the context of the log entry.
    pub(super) pending_writes: HashMap<Vec<u8>, PendingWrite>,
    pub(super) reads: PendingReads,
    pub(super) lease_timers: LeaseTimers,
    /// The callback that the actor's thread calls with the state, once at the start and after each change.
    pub(super) on_change: Box<dyn Fn(&State) + Send>,
    settings: Settings,
    /// The number in the most recent request id.
    last_request_number: u64,
    /// The last term in which this node, as leader, proposed the id and the seed keys of a new store; 0 for
    /// none.
    seeded_term: u64,
    /// The term in which this node, as leader, counts down leases; `None` while it is not the leader.
    lease_timer_term: Option<u64>,
}

impl Node {
    pub(super) fn new(
        settings: Settings,
        raft: RawNode<RaftStorage>,
        storage: RaftStorage,
        log_file: Option<LogFile>,
        peers: HashMap<u64, Sender<Message>>,
        on_change: Box<dyn Fn(&State) + Send>,
    ) -> Node {
        Node {
            raft,
            storage,
            log_file,
            peers,
            pending_writes: HashMap::new(),
            reads: PendingReads::default(),
            lease_timers: LeaseTimers::default(),
            on_change,
            settings,
            // Log entries and responses with request ids from before a restart may still arrive and must not
            // match a new request, so the counter starts at a random number. The upper half of the range is
            // left for counting.
            last_request_number: fastrand::u64(..1 << 63),
            seeded_term: 0,
            lease_timer_term: None,
        }
    }

    /// Runs until the last handle is dropped or the log cannot be stored.
    pub(super) fn run(mut self, commands: &Receiver<NodeCommand>) {
        let state = self.storage.shared.machine().state().clone();
        (self.on_change)(&state);
        let mut next_tick = Instant::now() + TICK;
        loop {
            match commands.recv_deadline(next_tick) {
                Ok(command) => {
                    self.handle(command);
                    commands.try_iter().take(MAX_BATCH - 1).for_each(|command| self.handle(command));
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            // Ticks must also happen while commands arrive without a pause. Two ticks are at least `TICK`
            // apart, because otherwise leases would expire early.
            if Instant::now() >= next_tick {
                next_tick = Instant::now() + TICK;
                self.tick();
            }
            self.request_read_index();
            if let Err(error) = self.advance() {
                // A node that cannot store its log must not acknowledge commands, so it stops; the store's
                // other nodes continue.
                tracing::error!(%error, "store node stopped, its log cannot be stored");
                self.storage.shared.clear_leader();
                return;
            }
            self.update_leadership();
        }
    }

    fn handle(&mut self, command: NodeCommand) {
        match command {
            NodeCommand::Receive(message) => self.receive(*message),
            NodeCommand::Propose { command, responder } => self.propose_for_client(&command, responder),
            NodeCommand::Read(responder) => self.read(responder),
            NodeCommand::Status(responder) => _ = responder.try_send(self.known_leader()),
            NodeCommand::SetPeerAddress { node, addr } => self.set_peer_address(node, addr),
        }
    }

    /// Passes a peer's message to raft. Messages from unknown nodes or for another node are dropped: they
    /// come from a node with a wrong address in its settings.
    fn receive(&mut self, message: Message) {
        let is_known = self.settings.peers.contains_key(&message.from) && message.to == self.settings.node;
        if is_known {
            // Raft rejects messages that do not match its state. The peer sends again what is still needed.
            _ = self.raft.step(message);
        }
    }

    /// Proposes a client's command, which raft forwards from a follower to the leader. The response is sent
    /// when the command is applied, or at once if it cannot be proposed.
    fn propose_for_client(&mut self, command: &Command, responder: WriteResponder) {
        let request_id = self.next_request_id();
        if self.has_leader() && self.propose(request_id.clone(), command) {
            self.pending_writes.insert(request_id, PendingWrite { responder, proposed_at: Instant::now() });
        } else {
            _ = responder.try_send(Err(Rejection::NoQuorum));
        }
    }

    /// Proposes a log entry with this context. Returns whether raft accepted the proposal.
    fn propose(&mut self, context: Vec<u8>, command: &Command) -> bool {
        command.encode().is_some_and(|bytes| self.raft.propose(context, bytes).is_ok())
    }

    fn read(&mut self, responder: ReadResponder) {
        if self.has_leader() {
            self.reads.add(responder);
        } else {
            _ = responder.try_send(Err(Rejection::NoQuorum));
        }
    }

    /// Changes the address that messages to a peer are sent to. Unknown nodes and this node itself are
    /// ignored.
    fn set_peer_address(&mut self, node: u64, addr: SocketAddr) {
        let current = self.settings.peers.get(&node);
        if node == self.settings.node || current.is_none_or(|current| *current == addr) {
            return;
        }
        match peers::start_sender(addr) {
            Ok(sender) => {
                // Replacing the queue ends the old sender thread.
                self.peers.insert(node, sender);
                self.settings.peers.insert(node, addr);
                tracing::info!(node, %addr, "store peer address changed");
            }
            Err(error) => tracing::error!(node, %error, "store sender thread not started, old address used"),
        }
    }

    fn tick(&mut self) {
        self.raft.tick();
        self.seed();
        self.expire_requests();
        let mut expirations = Vec::new();
        self.lease_timers.handle(LeaseTimerEvent::Tick, &mut expirations);
        expirations.iter().for_each(|command| self.propose_internal(command));
    }

    /// If this node leads a new store, proposes the store's id and seed keys, once per term. Duplicate
    /// proposals by successive leaders are harmless: only the first id takes effect, and seed keys are
    /// written only if they do not exist.
    fn seed(&mut self) {
        let Some(term) = self.leading_term() else { return };
        if self.seeded_term == term {
            return;
        }
        self.seeded_term = term;
        let state = self.storage.shared.machine().state().clone();
        if state.store_id == 0 {
            self.propose_internal(&Command::Initialize { store_id: fastrand::u64(1..) });
        }
        if state.get(SEEDED_KEY).is_some() {
            return;
        }
        for (key, text) in self.settings.seeds.clone() {
            self.propose_new_key(key, text);
        }
        self.propose_new_key(SEEDED_KEY.into(), SEEDED_TEXT.into());
    }

    /// Proposes to create a key; the command has no effect if the key exists.
    fn propose_new_key(&mut self, key: String, text: String) {
        let update = Update { key, text: Some(text), expected_version: Some(0) };
        let operation = Operation::Update { update, fencing_token: None, lease_epoch: None };
        self.propose_internal(&Command::Write { origin: None, operation });
    }

    /// Proposes a command without waiting for its response. If the proposal is lost, a later tick or the next
    /// leader repeats it.
    fn propose_internal(&mut self, command: &Command) {
        let no_context = vec![];
        self.propose(no_context, command);
    }

    /// Rejects writes and reads that have waited too long, and all of them while no leader is known. A
    /// rejected write may still be committed, so its client is told that it is unconfirmed.
    fn expire_requests(&mut self) {
        let no_leader = !self.has_leader();
        self.pending_writes.retain(|_, write| {
            let lost = no_leader || write.proposed_at.elapsed() > COMMIT_TIMEOUT;
            if lost {
                _ = write.responder.try_send(Err(Rejection::Unconfirmed));
            }
            !lost
        });
        self.reads.expire(no_leader, COMMIT_TIMEOUT);
    }

    /// Requests a read index for the waiting readers, unless a request is already in flight.
    fn request_read_index(&mut self) {
        if !self.reads.needs_request() {
            return;
        }
        let request_id = self.next_request_id();
        let leading_term = self.leading_term();
        self.raft.read_index(request_id.clone());
        self.reads.start_request(request_id, leading_term);
    }

    /// Publishes the current leader, and starts or stops the lease countdowns when this node gains or loses
    /// the leadership. Each of its terms starts the countdowns anew.
    fn update_leadership(&mut self) {
        let (leader, term) = (self.raft.raft.leader_id, self.raft.raft.term);
        let leading_term = self.leading_term();
        let shared = &self.storage.shared;
        let previous_leader = shared.set_leader(leader, term);
        if previous_leader != leader {
            log_leader(leader, term);
        }
        if leading_term == self.lease_timer_term {
            return;
        }
        self.lease_timer_term = leading_term;
        let event = match leading_term {
            Some(_) => LeaseTimerEvent::BecameLeader(shared.machine().lease_timers()),
            None => LeaseTimerEvent::LostLeadership,
        };
        // Only ticks of the lease timers produce commands, so the list of commands stays empty.
        self.lease_timers.handle(event, &mut Vec::new());
    }

    fn has_leader(&self) -> bool {
        self.raft.raft.leader_id != raft::INVALID_ID
    }

    fn known_leader(&self) -> KnownLeader {
        KnownLeader::new(self.raft.raft.leader_id, self.raft.raft.term)
    }

    /// The term in which this node believes to be the leader. A newer leader may have been elected without
    /// its knowledge.
    pub(super) fn leading_term(&self) -> Option<u64> {
        (self.raft.raft.state == StateRole::Leader).then_some(self.raft.raft.term)
    }

    /// Creates a request id that is unique across all nodes: the node's id and a counter, 8 bytes each.
    fn next_request_id(&mut self) -> Vec<u8> {
        self.last_request_number += 1;
        [self.settings.node.to_le_bytes(), self.last_request_number.to_le_bytes()].concat()
    }
}

fn log_leader(leader: u64, term: u64) {
    if leader == raft::INVALID_ID {
        tracing::warn!(term, "store leader lost, writes are rejected until a new one is elected");
    } else {
        tracing::info!(leader, term, "store leader elected");
    }
}
