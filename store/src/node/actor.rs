//! The actor of a node: one thread that owns the raft state and the log file. This file has its state, its loop and a
//! handler for each command. What the raft library has ready is handled in `ready.rs`.
use super::commands::{NodeCommand, WriteReply};
use super::reads::{PendingReads, ReadReply};
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

/// The unit in which raft counts elections and heartbeats, and the leader counts leases.
const TICK: Duration = Duration::from_millis(TICK_MS);
/// A write that is not committed, or a read that is not confirmed, within this time is given up.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(3);
/// The most commands that are handled in one turn of the loop: what they add to the log is synced together.
const MAX_BATCH: usize = 256;
/// The key that marks a store whose seeds have been set.
const SEEDED_KEY: &str = "seeded";
const SEEDED_TEXT: &str = "yes";

/// A proposed command whose response is awaited.
pub(super) struct PendingWrite {
    pub(super) reply: WriteReply,
    proposed_at: Instant,
}

/// One node of the store.
pub(super) struct Node {
    pub(super) raft: RawNode<RaftStorage>,
    pub(super) storage: RaftStorage,
    /// `None` for a node that keeps its log in memory alone.
    pub(super) log_file: Option<LogFile>,
    /// By a peer's id, the queue of the thread that sends to it.
    pub(super) peers: HashMap<u64, Sender<Message>>,
    /// By the request id in the context of the log entry.
    pub(super) pending_writes: HashMap<Vec<u8>, PendingWrite>,
    pub(super) reads: PendingReads,
    pub(super) lease_timers: LeaseTimers,
    /// Called on this thread with the state at the start and after each change.
    pub(super) on_change: Box<dyn Fn(&State) + Send>,
    settings: Settings,
    /// The number in the latest request id.
    last_request: u64,
    /// The latest term that this node has led and proposed the id and the seeds of a new store in; 0 for none.
    seeded_term: u64,
    /// The term that this node counts leases in, as its leader; `None` while it does not lead.
    counting_term: Option<u64>,
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
            // Entries and answers with ids from before a restart may still come: they must not match a new request. The
            // upper half is left free to count in.
            last_request: fastrand::u64(..1 << 63),
            seeded_term: 0,
            counting_term: None,
        }
    }

    /// Runs until the last handle is gone, or the log can't be stored.
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
            // Commands that come without a pause must not hold up the ticks. Two ticks are never less than `TICK` apart,
            // or leases would end early.
            if Instant::now() >= next_tick {
                next_tick = Instant::now() + TICK;
                self.tick();
            }
            self.request_read_index();
            if let Err(error) = self.advance() {
                // What can't be stored must not be promised: the node stops, and the others go on.
                tracing::error!(%error, "store node stopped");
                self.storage.shared.clear_leader();
                return;
            }
            self.follow_leadership();
        }
    }

    fn handle(&mut self, command: NodeCommand) {
        match command {
            NodeCommand::Receive(message) => self.receive(*message),
            NodeCommand::Propose { command, reply } => self.propose_for_client(&command, reply),
            NodeCommand::Read(reply) => self.read(reply),
            NodeCommand::Status(reply) => _ = reply.try_send(self.known_leader()),
            NodeCommand::SetPeerAddress { node, addr } => self.set_peer_address(node, addr),
        }
    }

    /// Hands a peer's message to raft. A message from an unknown node or for another node is dropped: some node's settings
    /// name a wrong address.
    fn receive(&mut self, message: Message) {
        let is_known = self.settings.peers.contains_key(&message.from) && message.to == self.settings.node;
        if is_known {
            // Raft refuses what does not fit its state; the peer sends what is still needed again.
            _ = self.raft.step(message);
        }
    }

    /// Proposes a client's command, which a follower's raft forwards to the leader. It is answered once it is applied;
    /// at once where it can't be proposed.
    fn propose_for_client(&mut self, command: &Command, reply: WriteReply) {
        let request_id = self.next_request_id();
        if self.has_leader() && self.propose(request_id.clone(), command) {
            self.pending_writes.insert(request_id, PendingWrite { reply, proposed_at: Instant::now() });
        } else {
            _ = reply.try_send(Err(Rejection::NoQuorum));
        }
    }

    /// Proposes a log entry with this context; returns whether raft has accepted it.
    fn propose(&mut self, context: Vec<u8>, command: &Command) -> bool {
        command.encode().is_some_and(|bytes| self.raft.propose(context, bytes).is_ok())
    }

    fn read(&mut self, reply: ReadReply) {
        if self.has_leader() {
            self.reads.add(reply);
        } else {
            _ = reply.try_send(Err(Rejection::NoQuorum));
        }
    }

    /// Sends to a peer at another address from now on. Nodes that are no peers, and this node itself, are ignored.
    fn set_peer_address(&mut self, node: u64, addr: SocketAddr) {
        let current = self.settings.peers.get(&node);
        if node == self.settings.node || current.is_none_or(|current| *current == addr) {
            return;
        }
        match peers::start_sender(addr) {
            Ok(sender) => {
                // The old sender's thread ends with its queue.
                self.peers.insert(node, sender);
                self.settings.peers.insert(node, addr);
                tracing::info!(node, %addr, "store peer address changed");
            }
            Err(error) => tracing::error!(node, %error, "store peer thread not started"),
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

    /// The leader of a new store gives it an id and sets the seeds, once in its term. Commands that are proposed twice,
    /// by two leaders, do no harm: the id is set once, and the seeds are set only as new keys.
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

    /// Proposes a key that must not exist yet.
    fn propose_new_key(&mut self, key: String, text: String) {
        let update = Update { key, text: Some(text), expected_version: Some(0) };
        let operation = Operation::Update { update, fencing_token: None, lease_epoch: None };
        self.propose_internal(&Command::Write { origin: None, operation });
    }

    /// Proposes a command whose response nobody awaits. Where it is lost, a later tick or the next leader proposes it
    /// again.
    fn propose_internal(&mut self, command: &Command) {
        let no_context = vec![];
        self.propose(no_context, command);
    }

    /// Gives up writes and reads that have waited too long, and all of them where no leader is known. A write that is
    /// given up may still be committed: its client learns that this is unconfirmed.
    fn expire_requests(&mut self) {
        let no_leader = !self.has_leader();
        self.pending_writes.retain(|_, write| {
            let lost = no_leader || write.proposed_at.elapsed() > COMMIT_TIMEOUT;
            if lost {
                _ = write.reply.try_send(Err(Rejection::Unconfirmed));
            }
            !lost
        });
        self.reads.expire(no_leader, COMMIT_TIMEOUT);
    }

    /// Requests a read index for the readers that wait, unless a request is in flight.
    fn request_read_index(&mut self) {
        if !self.reads.needs_request() {
            return;
        }
        let request_id = self.next_request_id();
        let leading_term = self.leading_term();
        self.raft.read_index(request_id.clone());
        self.reads.start_request(request_id, leading_term);
    }

    /// Publishes who leads. Leases are counted by the leader alone, from the beginning in each of its terms.
    fn follow_leadership(&mut self) {
        let (leader, term) = (self.raft.raft.leader_id, self.raft.raft.term);
        let leading_term = self.leading_term();
        let shared = &self.storage.shared;
        let previous_leader = shared.set_leader(leader, term);
        if previous_leader != leader {
            log_leader(leader, term);
        }
        if leading_term == self.counting_term {
            return;
        }
        self.counting_term = leading_term;
        let event = match leading_term {
            Some(_) => LeaseTimerEvent::BecameLeader(shared.machine().lease_timers()),
            None => LeaseTimerEvent::LostLeadership,
        };
        // Only a tick ends leases: this event gives no commands.
        self.lease_timers.handle(event, &mut Vec::new());
    }

    fn has_leader(&self) -> bool {
        self.raft.raft.leader_id != raft::INVALID_ID
    }

    fn known_leader(&self) -> KnownLeader {
        KnownLeader::new(self.raft.raft.leader_id, self.raft.raft.term)
    }

    /// The term that this node leads, as far as it knows: a newer leader may have been elected without it.
    pub(super) fn leading_term(&self) -> Option<u64> {
        (self.raft.raft.state == StateRole::Leader).then_some(self.raft.raft.term)
    }

    /// An id that no other request has, of any node: the node's id and a number, 8 bytes each.
    fn next_request_id(&mut self) -> Vec<u8> {
        self.last_request += 1;
        [self.settings.node.to_le_bytes(), self.last_request.to_le_bytes()].concat()
    }
}

fn log_leader(leader: u64, term: u64) {
    if leader == raft::INVALID_ID {
        tracing::warn!(term, "store leader lost, writes wait for one");
    } else {
        tracing::info!(leader, term, "store leader elected");
    }
}
