//! The actor that owns the raft state of this node.
use crate::disk::Disk;
use crate::peers::{self, spawn, way_to};
use crate::state::{Change, State};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use raft::eraftpb::{Entry, EntryType, Message, Snapshot};
use raft::storage::MemStorage;
use raft::{Config, GetEntriesContext, RaftState, RawNode, StateRole, Storage};
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const TICK: Duration = Duration::from_millis(50);
/// Log entries after which a snapshot takes their place.
const KEPT: u64 = 1000;
/// A change that is not confirmed within this time is told so.
const PATIENCE: Duration = Duration::from_secs(3);

/// How a node is set up.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This node's number.
    pub node: u64,
    /// All nodes, this one included, and where they listen for each other.
    pub peers: BTreeMap<u64, SocketAddr>,
    /// Where the log is kept; in memory alone where it is not set.
    pub folder: Option<PathBuf>,
    /// Keys that are set once, when the store is new.
    pub seeds: Vec<(String, String)>,
}

/// Why a change was not made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    /// No majority of nodes is there: nothing has changed.
    NoMajority,
    /// The key is at this version.
    Version(u64),
    /// The majority was lost over it: it may yet be made.
    Unconfirmed,
}

type Reply = Sender<Result<u64, Refused>>;

enum Mail {
    Peer(Box<Message>),
    Change(Change, Reply),
    Status(Sender<(u64, u64)>),
    Moved(u64, SocketAddr),
}

/// A node's handle.
#[derive(Clone)]
pub struct Store {
    to: Sender<Mail>,
    state: Arc<Mutex<State>>,
    node: u64,
}

impl Store {
    /// Makes a change: the key's new version.
    pub fn change(&self, change: Change) -> Result<u64, Refused> {
        let (reply, made) = bounded(1);
        if self.to.send(Mail::Change(change, reply)).is_err() {
            return Err(Refused::NoMajority);
        }
        made.recv().unwrap_or(Err(Refused::Unconfirmed))
    }

    /// A node of the cluster listens elsewhere from now on. Who belongs to it stays as it is set up.
    pub fn moved(&self, node: u64, addr: SocketAddr) {
        _ = self.to.try_send(Mail::Moved(node, addr));
    }

    /// The last committed values that this node knows.
    pub fn state(&self) -> State {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).clone()
    }

    /// This node, the leader that it knows (0 for none), and the term.
    pub fn status(&self) -> (u64, u64, u64) {
        let (reply, told) = bounded(1);
        _ = self.to.send(Mail::Status(reply));
        let (leader, term) = told.recv().unwrap_or((0, 0));
        (self.node, leader, term)
    }
}

/// The log in memory, with snapshots of the state beside it.
#[derive(Clone)]
struct Held {
    log: MemStorage,
    state: Arc<Mutex<State>>,
}

impl Storage for Held {
    fn initial_state(&self) -> raft::Result<RaftState> {
        self.log.initial_state()
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        most: impl Into<Option<u64>>,
        context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        self.log.entries(low, high, most, context)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        self.log.term(index)
    }

    fn first_index(&self) -> raft::Result<u64> {
        self.log.first_index()
    }

    fn last_index(&self) -> raft::Result<u64> {
        self.log.last_index()
    }

    fn snapshot(&self, _: u64, _: u64) -> raft::Result<Snapshot> {
        let state = self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let mut snapshot = Snapshot::default();
        let metadata = snapshot.mut_metadata();
        metadata.index = state.applied;
        metadata.term = self.log.term(state.applied)?;
        metadata.set_conf_state(self.log.initial_state()?.conf_state);
        snapshot.set_data(state.write().into());
        Ok(snapshot)
    }
}

struct Node {
    raft: RawNode<Held>,
    held: Held,
    disk: Option<Disk>,
    ways: HashMap<u64, Sender<Message>>,
    waiting: HashMap<Vec<u8>, (Reply, Instant)>,
    next: u64,
    settings: Settings,
    seeded: bool,
    changed: Box<dyn Fn(&State) + Send>,
}

/// Starts a node. `changed` is called with the committed state at the start and after each change.
pub fn start(settings: Settings, changed: impl Fn(&State) + Send + 'static) -> Result<Store, String> {
    let failed = |what: &str| {
        let what = what.to_string();
        move |e: std::io::Error| format!("{what}: {e}")
    };
    let Some(own) = settings.peers.get(&settings.node).copied() else {
        return Err(format!("store: expected node {} among its peers", settings.node));
    };
    if let Some(far) = settings.peers.values().find(|a| !a.ip().is_loopback()) {
        return Err(format!("store: expected addresses on loopback, found {far}"));
    }
    let voters: Vec<u64> = settings.peers.keys().copied().collect();
    let log = MemStorage::new_with_conf_state((voters, vec![]));
    let mut state = State::default();
    let disk = match &settings.folder {
        None => None,
        Some(folder) => {
            let (disk, kept) = Disk::open(folder).map_err(failed("store: folder"))?;
            if kept.torn > 0 {
                tracing::warn!("store: cut a torn tail of {} bytes off the log", kept.torn);
            }
            let mut core = log.wl();
            if kept.snapshot.get_metadata().index > 0 {
                state = State::read(kept.snapshot.get_data()).ok_or("store: the snapshot can't be read")?;
                core.apply_snapshot(kept.snapshot)
                    .map_err(|e| format!("store: the snapshot does not fit: {e}"))?;
            }
            core.append(&kept.entries).map_err(|e| format!("store: the log does not fit: {e}"))?;
            core.set_hardstate(kept.hard_state);
            drop(core);
            Some(disk)
        }
    };
    let applied = state.applied;
    let held = Held { log, state: Arc::new(Mutex::new(state)) };
    let config = Config {
        id: settings.node,
        election_tick: 10,
        heartbeat_tick: 2,
        check_quorum: true,
        pre_vote: true,
        max_size_per_msg: 1 << 20,
        max_inflight_msgs: 64,
        applied,
        ..Config::default()
    };
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    let mut raft = RawNode::new(&config, held.clone(), &logger).map_err(|e| format!("store: {e}"))?;
    if settings.peers.len() == 1 {
        raft.campaign().map_err(|e| format!("store: {e}"))?;
    }
    let (to, mailbox) = bounded(1024);
    let mut ways = HashMap::new();
    if settings.peers.len() > 1 {
        let listener = TcpListener::bind(own).map_err(failed("store: listen"))?;
        let take = {
            let to = to.clone();
            move |m: Message| to.send(Mail::Peer(Box::new(m))).is_ok()
        };
        peers::listen(listener, take).map_err(failed("store"))?;
        for (node, addr) in settings.peers.iter().filter(|(n, _)| **n != settings.node) {
            ways.insert(*node, way_to(*addr).map_err(failed("store"))?);
        }
    }
    let store = Store { to, state: held.state.clone(), node: settings.node };
    let (waiting, changed) = (HashMap::new(), Box::new(changed));
    // Numbers of changes must differ from those of an earlier life.
    let next =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_or(0, |d| d.as_nanos() as u64);
    let node = Node { raft, held, disk, ways, waiting, next, settings, seeded: false, changed };
    spawn("store", move || node.run(&mailbox)).map_err(failed("store"))?;
    Ok(store)
}

impl Node {
    fn run(mut self, mailbox: &Receiver<Mail>) {
        (self.changed)(&self.held.state.lock().unwrap_or_else(|p| p.into_inner()).clone());
        let mut tick = Instant::now() + TICK;
        loop {
            match mailbox.recv_deadline(tick) {
                Ok(Mail::Peer(m)) => {
                    let known = self.settings.peers.contains_key(&m.from) && m.to == self.settings.node;
                    if known {
                        _ = self.raft.step(*m);
                    }
                }
                Ok(Mail::Change(change, reply)) => self.propose(change, reply),
                Ok(Mail::Moved(node, addr)) => self.moved(node, addr),
                Ok(Mail::Status(reply)) => {
                    _ = reply.try_send((self.raft.raft.leader_id, self.raft.raft.term))
                }
                Err(RecvTimeoutError::Timeout) => {
                    tick = Instant::now() + TICK;
                    self.raft.tick();
                    self.seed();
                    self.lose_patience();
                }
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if let Err(e) = self.advance() {
                // What can't be kept must not be promised: the node stops, the others go on.
                tracing::error!("store: stopped, the log can't be kept: {e}");
                return;
            }
        }
    }

    fn moved(&mut self, node: u64, addr: SocketAddr) {
        let known = self.settings.peers.get(&node);
        if node == self.settings.node || known.is_none_or(|a| *a == addr) {
            return;
        }
        match way_to(addr) {
            Ok(way) => {
                // The old way's thread ends with its sender.
                self.ways.insert(node, way);
                self.settings.peers.insert(node, addr);
                tracing::info!("store: node {node} is at {addr} now");
            }
            Err(e) => tracing::error!("store: no thread for node {node}: {e}"),
        }
    }

    fn propose(&mut self, change: Change, reply: Reply) {
        if self.raft.raft.leader_id == raft::INVALID_ID {
            _ = reply.try_send(Err(Refused::NoMajority));
            return;
        }
        self.next += 1;
        let name = [self.settings.node.to_le_bytes(), self.next.to_le_bytes()].concat();
        match self.raft.propose(name.clone(), change.write()) {
            Ok(()) => _ = self.waiting.insert(name, (reply, Instant::now())),
            Err(_) => _ = reply.try_send(Err(Refused::NoMajority)),
        }
    }

    /// The leader of a new store sets what it begins with.
    fn seed(&mut self) {
        let set =
            |key: &str, text: &str| Change { key: key.into(), text: Some(text.into()), expected: Some(0) };
        let leads = self.raft.raft.state == StateRole::Leader;
        if self.seeded || !leads || self.held.state.lock().is_ok_and(|s| s.get("seeded").is_some()) {
            return;
        }
        self.seeded = true;
        for (key, text) in self.settings.seeds.clone() {
            _ = self.raft.propose(vec![], set(&key, &text).write());
        }
        _ = self.raft.propose(vec![], set("seeded", "yes").write());
    }

    fn lose_patience(&mut self) {
        let alone = self.raft.raft.leader_id == raft::INVALID_ID;
        self.waiting.retain(|_, (reply, since)| {
            let lost = alone || since.elapsed() > PATIENCE;
            if lost {
                _ = reply.try_send(Err(Refused::Unconfirmed));
            }
            !lost
        });
    }

    fn advance(&mut self) -> std::io::Result<()> {
        while self.raft.has_ready() {
            let mut ready = self.raft.ready();
            self.send(ready.take_messages());
            if !ready.snapshot().is_empty() {
                self.install(ready.snapshot())?;
            }
            self.apply(ready.take_committed_entries());
            self.held.log.wl().append(ready.entries()).map_err(std::io::Error::other)?;
            if let Some(hard_state) = ready.hs() {
                self.held.log.wl().set_hardstate(hard_state.clone());
            }
            if let Some(disk) = &mut self.disk {
                disk.add(ready.entries(), ready.hs())?;
            }
            // Only now may others rely on what is kept.
            self.send(ready.take_persisted_messages());
            let mut light = self.raft.advance(ready);
            if let Some(commit) = light.commit_index() {
                let hard_state = {
                    let mut core = self.held.log.wl();
                    core.mut_hard_state().set_commit(commit);
                    core.hard_state().clone()
                };
                if let Some(disk) = &mut self.disk {
                    disk.add(&[], Some(&hard_state))?;
                }
            }
            self.send(light.take_messages());
            self.apply(light.take_committed_entries());
            self.raft.advance_apply();
        }
        self.compact()
    }

    fn send(&self, messages: Vec<Message>) {
        for m in messages {
            if let Some(way) = self.ways.get(&m.to) {
                // A full way drops it; raft sends it again.
                _ = way.try_send(m);
            }
        }
    }

    fn install(&mut self, snapshot: &Snapshot) -> std::io::Result<()> {
        let state = State::read(snapshot.get_data())
            .ok_or_else(|| std::io::Error::other("a snapshot can't be read"))?;
        self.held.log.wl().apply_snapshot(snapshot.clone()).map_err(std::io::Error::other)?;
        if let Some(disk) = &mut self.disk {
            let hard_state = self.held.log.wl().hard_state().clone();
            disk.rewrite(snapshot, &[], &hard_state)?;
        }
        (self.changed)(&state);
        *self.held.state.lock().unwrap_or_else(|p| p.into_inner()) = state;
        Ok(())
    }

    fn apply(&mut self, entries: Vec<Entry>) {
        for e in entries {
            let mut state = self.held.state.lock().unwrap_or_else(|p| p.into_inner());
            state.applied = e.index;
            if e.get_entry_type() != EntryType::EntryNormal || e.data.is_empty() {
                continue;
            }
            let change = serde_json::from_slice(&e.data).ok().as_ref().and_then(Change::read);
            let Some(change) = change else { continue };
            let made = state.apply(change);
            let now = state.clone();
            drop(state);
            if made.is_ok() {
                (self.changed)(&now);
            }
            if let Some((reply, _)) = self.waiting.remove(&e.context.to_vec()) {
                _ = reply.try_send(made.map_err(Refused::Version));
            }
        }
    }

    /// Puts a snapshot in the place of a long log.
    fn compact(&mut self) -> std::io::Result<()> {
        let applied = self.held.state.lock().map_or(0, |s| s.applied);
        let first = self.held.first_index().map_err(std::io::Error::other)?;
        if applied < first + KEPT {
            return Ok(());
        }
        let snapshot = self.held.snapshot(0, 0).map_err(std::io::Error::other)?;
        let last = self.held.last_index().map_err(std::io::Error::other)?;
        let context = GetEntriesContext::empty(false);
        let behind = if last > applied {
            self.held.entries(applied + 1, last + 1, None, context).map_err(std::io::Error::other)?
        } else {
            Vec::new()
        };
        if let Some(disk) = &mut self.disk {
            let hard_state = self.held.log.wl().hard_state().clone();
            disk.rewrite(&snapshot, &behind, &hard_state)?;
        }
        self.held.log.wl().compact(applied).map_err(std::io::Error::other)
    }
}
