//! Drives the state machine: the journal's thread, a thread for each peer to connect to, the connections of peers, and
//! the ticks. A front asks what a read must see, and hands over a served write before it answers the client.
//!
//! The machine is behind one lock that is held for microseconds and never over a socket or a file: what is sent to a
//! peer waits in a bounded queue, what is written to disk in a list that the journal's thread takes at once, so that
//! many writes share one sync.
mod actions;
mod connection;
mod inbound;
mod journal_thread;
mod outbound;
mod start;
mod status;

pub use status::ask;

use self::connection::Connection;
use crate::Key;
use crate::clocks::Clocks;
use crate::machine::{Event, Instance, Machine, Now, PendingAck, Stopped};
use crossbeam_channel::{Sender, bounded};
use decision::Time;
use routing::{Clock, spawn};
use settings::Limits;
use settings::operator::SessionsConfig as Settings;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Ticks in one lease's time.
const TICKS_PER_LEASE: u32 = 10;

/// Whose read or write it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Who {
    /// A session that clients name: it may come back elsewhere, or after a restart.
    Named(Key),
    /// A connection of this process.
    Own(Key),
}

/// A record that waits for the journal's thread.
enum Append {
    /// A commit by its number, its session, its time.
    Commit(u64, Key, Time),
    Floor(Time),
}

/// What is behind the lock.
struct State {
    machine: Machine,
    /// Clients' threads that wait until their write may be acknowledged.
    writers: HashMap<PendingAck, Sender<bool>>,
    last_ack: PendingAck,
    appends: Vec<Append>,
    /// To peers that receive our commits.
    outbound: BTreeMap<Instance, Connection>,
    /// From peers that send theirs.
    inbound: BTreeMap<Instance, Connection>,
    peers: BTreeMap<Instance, SocketAddr>,
    /// Whether all peers could be relied on at the last tick.
    peers_up_to_date: bool,
    /// Reads that had to see the present.
    present_reads: u64,
    reads: u64,
}

impl State {
    fn new(machine: Machine) -> State {
        State {
            machine,
            writers: HashMap::new(),
            last_ack: 0,
            appends: Vec::new(),
            outbound: BTreeMap::new(),
            inbound: BTreeMap::new(),
            peers: BTreeMap::new(),
            peers_up_to_date: false,
            present_reads: 0,
            reads: 0,
        }
    }
}

/// What sessions must see at this instance, and its peers.
pub struct Sessions {
    state: Mutex<State>,
    settings: Settings,
    limits: Arc<Limits>,
    clock: Clock,
    clocks: Arc<Clocks>,
    wake_journal: Sender<()>,
    stopping: AtomicBool,
    journal_bytes: AtomicU64,
    syncs: AtomicU64,
}

impl Sessions {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Now {
        let at = self.clock.now();
        Now { at, present: self.clocks.present(at) }
    }

    /// What a read must see.
    ///
    /// # Errors
    /// Why named sessions' requests are not served here.
    pub fn need(&self, who: Who) -> Result<Option<Time>, Stopped> {
        let now = self.now();
        let mut state = self.lock();
        match who {
            Who::Own(key) => Ok(state.machine.own_need(key)),
            Who::Named(key) => {
                if let Some(why) = state.machine.stopped() {
                    return Err(why);
                }
                state.reads += 1;
                if state.machine.floor_due() || !state.machine.peers_up_to_date(now.at) {
                    state.present_reads += 1;
                }
                Ok(state.machine.need(key, now))
            }
        }
    }

    /// Whether requests of this session are served here at all.
    ///
    /// # Errors
    /// Why named sessions' requests are not served here.
    pub fn admits(&self, who: Who) -> Result<(), Stopped> {
        match who {
            Who::Own(_) => Ok(()),
            Who::Named(_) => self.lock().machine.stopped().map_or(Ok(()), Err),
        }
    }

    /// Records a served write, and waits until its session's later reads can't miss it, at whichever instance they
    /// come in. `false`: the write must not be acknowledged to the client.
    pub fn committed(&self, who: Who, at: Time, until: Time) -> bool {
        let key = match who {
            Who::Own(key) => {
                self.handle(Event::Own(key, at));
                return true;
            }
            Who::Named(key) => key,
        };
        let (writer, answer) = bounded(1);
        let ack = {
            let mut state = self.lock();
            state.last_ack += 1;
            let ack = state.last_ack;
            state.writers.insert(ack, writer);
            self.handle_locked(&mut state, Event::Commit(ack, key, at));
            ack
        };
        let may_acknowledge = answer.recv_deadline(self.clock.instant_at(until));
        if may_acknowledge.is_err() {
            self.lock().writers.remove(&ack);
        }
        may_acknowledge.unwrap_or(false)
    }

    /// Follows another list of peers.
    pub fn list(self: &Arc<Self>, peers: BTreeMap<Instance, SocketAddr>) {
        let mut state = self.lock();
        let is_new = |peer: &(&Instance, &SocketAddr)| state.peers.get(peer.0) != Some(peer.1);
        let new: Vec<(Instance, SocketAddr)> =
            peers.iter().filter(is_new).map(|(instance, addr)| (*instance, *addr)).collect();
        // A peer that is listed at another address now is met there alone.
        let has_gone = |instance: &Instance| peers.get(instance) != state.peers.get(instance);
        let gone: Vec<Instance> = state.peers.keys().copied().filter(has_gone).collect();
        for peer in gone {
            let connections = [state.outbound.remove(&peer), state.inbound.remove(&peer)];
            connections.iter().flatten().for_each(Connection::close);
            self.handle_locked(&mut state, Event::Unlinked(peer));
            self.handle_locked(&mut state, Event::Left(peer));
        }
        state.peers = peers;
        let listed = state.peers.keys().copied().collect();
        self.handle_locked(&mut state, Event::Peers(listed));
        drop(state);
        for (peer, addr) in new {
            let own = self.clone();
            let run = move || own.run_outbound(peer, addr);
            if let Err(error) = spawn("peer-to", self.limits.routing_thread_stack_bytes, run) {
                tracing::error!("sessions: no thread for peer {peer}: {error}");
            }
        }
    }

    /// Ends the journal's thread and the connections to peers; connections from peers go on until they end.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
        _ = self.wake_journal.try_send(());
    }

    fn run_ticks(&self) {
        let pause = self.settings.lease / TICKS_PER_LEASE;
        while !self.stopping.load(Ordering::Acquire) {
            std::thread::sleep(pause);
            let mut state = self.lock();
            self.handle_locked(&mut state, Event::Tick);
            self.log_peers_up_to_date(&mut state);
        }
    }

    /// Logs when peers can be relied on again, or no longer.
    fn log_peers_up_to_date(&self, state: &mut State) {
        let now = self.clock.now();
        let up_to_date = state.machine.peers_up_to_date(now) && !state.machine.floor_due();
        if std::mem::replace(&mut state.peers_up_to_date, up_to_date) == up_to_date {
            return;
        }
        if up_to_date {
            tracing::info!("sessions: every peer's news is relied on");
            return;
        }
        let silent: Vec<String> = (state.machine.peer_statuses(now).iter())
            .filter(|peer| !peer.relied_on)
            .map(|peer| peer.instance.to_string())
            .collect();
        tracing::warn!(
            "sessions: no news to rely on from peer {}: reads of named sessions see the present",
            silent.join(", ")
        );
    }
}
