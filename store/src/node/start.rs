//! Starts a node of the store.
use super::actor::Node;
use super::commands::NodeCommand;
use super::handle::Store;
use super::recovery::Recovered;
use super::settings::Settings;
use super::shared::Shared;
use super::storage::RaftStorage;
use crate::change_log::ChangeLog;
use crate::error::Error;
use crate::peers;
use crate::state::State;
use crate::threads::spawn;
use crossbeam_channel::{Sender, bounded};
use raft::eraftpb::Message;
use raft::{Config, RawNode};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

/// Maximum number of requests and messages queued for the actor.
const QUEUE_CAPACITY: usize = 1024;
/// Number of ticks without a heartbeat after which a follower starts an election.
const ELECTION_TICKS: usize = 10;
/// Number of ticks between two heartbeats of a leader.
const HEARTBEAT_TICKS: usize = 2;
/// Maximum total length of the log entries in one message, in bytes.
const MAX_APPEND_BYTES: u64 = 1 << 20;
/// Maximum number of append messages in flight to one follower.
const MAX_INFLIGHT_APPENDS: usize = 64;

/// Starts a node. `on_change` is called on the actor's thread with the committed keys: first with the
/// restored keys, then after each change.
///
/// # Errors
/// Fails if the settings are invalid, the folder cannot be used, the node cannot listen on its address, or a
/// thread cannot be started.
pub fn start(settings: Settings, on_change: impl Fn(&State) + Send + 'static) -> Result<Store, Error> {
    let own_addr = check(&settings)?;
    let Recovered { log, machine, log_file } = Recovered::load(&settings)?;
    let applied_index = machine.state().applied_index;
    let change_log = ChangeLog::new(settings.retention, machine.state().revision);
    let shared = Arc::new(Shared::new(machine, change_log));
    let storage = RaftStorage { log, shared: shared.clone() };
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    let mut raft = RawNode::new(&raft_config(settings.node, applied_index), storage.clone(), &logger)?;
    let is_single_node = settings.peers.len() == 1;
    if is_single_node {
        raft.campaign()?;
    }
    let (sender, receiver) = bounded(QUEUE_CAPACITY);
    let peers = if is_single_node { HashMap::new() } else { connect_peers(&settings, own_addr, &sender)? };
    let store = Store { sender, shared, node: settings.node };
    let node = Node::new(settings, raft, storage, log_file, peers, Box::new(on_change));
    spawn("store", move || node.run(&receiver)).map_err(Error::SpawnThread)?;
    Ok(store)
}

/// Validates the settings and returns this node's own address.
fn check(settings: &Settings) -> Result<SocketAddr, Error> {
    let Some(own_addr) = settings.peers.get(&settings.node).copied() else {
        return Err(Error::NotListed { node: settings.node });
    };
    match settings.peers.values().find(|addr| !addr.ip().is_loopback()) {
        Some(addr) => Err(Error::NotLoopback { addr: *addr }),
        None => Ok(own_addr),
    }
}

fn raft_config(node: u64, applied_index: u64) -> Config {
    Config {
        id: node,
        election_tick: ELECTION_TICKS,
        heartbeat_tick: HEARTBEAT_TICKS,
        check_quorum: true,
        pre_vote: true,
        max_size_per_msg: MAX_APPEND_BYTES,
        max_inflight_msgs: MAX_INFLIGHT_APPENDS,
        applied: applied_index,
        ..Config::default()
    }
}

/// Listens for messages of peers, and starts a sender thread for each peer.
fn connect_peers(
    settings: &Settings,
    own_addr: SocketAddr,
    sender: &Sender<NodeCommand>,
) -> Result<HashMap<u64, Sender<Message>>, Error> {
    let listen_failed = |source| Error::Listen { addr: own_addr, source };
    let listener = TcpListener::bind(own_addr).map_err(listen_failed)?;
    let sender = sender.clone();
    let deliver = move |message: Message| sender.send(NodeCommand::Receive(Box::new(message))).is_ok();
    peers::listen(listener, deliver).map_err(Error::SpawnThread)?;
    let mut senders = HashMap::new();
    for (node, addr) in settings.peers.iter().filter(|(node, _)| **node != settings.node) {
        senders.insert(*node, peers::start_sender(*addr).map_err(Error::SpawnThread)?);
    }
    Ok(senders)
}
