//! Drives the state machine: the journal's thread, a thread for each peer's dialling, the connections of peers, and
//! the ticks. A front asks what a read must see, and hands over a served write before it answers the client.
//!
//! The machine stands behind one lock that is held for microseconds and never over a socket or a file: what goes to a
//! peer waits in a bounded queue, what goes to disk in a list that the journal's thread takes whole, so that many
//! writes share one sync.
use crate::clocks::Clocks;
use crate::error::{AskError, Error};
use crate::frames::{self, Frame, VERSION};
use crate::journal::{self, Journal, Record, Whole};
use crate::machine::{
    Action, Event, Instance, Machine, Now, Push, Settings as MachineSettings, Stopped, Ticket, Why,
};
use crate::{Key, journal::Found};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use decision::Time;
use routing::{Clock, spawn};
use serde_json::json;
use settings::Limits;
use settings::operator::Sessions as Settings;
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Whose read or write it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Who {
    /// A session that clients name: it may come back elsewhere, or after a restart.
    Named(Key),
    /// A connection of this process.
    Own(Key),
}

/// A connection to or from a peer: what goes out on it waits in a bounded queue.
struct Way {
    number: u64,
    queue: Sender<Frame>,
    socket: Arc<TcpStream>,
}

impl Way {
    /// Queues a frame. A peer that takes nothing for so long is let go: it resumes, or begins anew.
    fn send(&self, frame: Frame) {
        if self.queue.try_send(frame).is_err() {
            _ = self.socket.shutdown(Shutdown::Both);
        }
    }
}

enum Append {
    Commit(u64, Key, Time),
    Floor(Time),
}

struct Inner {
    machine: Machine,
    writers: HashMap<Ticket, Sender<bool>>,
    next: u64,
    appends: Vec<Append>,
    /// To peers that take our commits.
    ways: BTreeMap<Instance, Way>,
    /// From peers that bring theirs.
    arrivals: BTreeMap<Instance, Way>,
    peers: BTreeMap<Instance, SocketAddr>,
    relied: bool,
    /// Reads that had to see the present.
    present_reads: u64,
    reads: u64,
}

/// What sessions must see at this instance, and its peers.
pub struct Sessions {
    inner: Mutex<Inner>,
    settings: Settings,
    limits: Arc<Limits>,
    clock: Clock,
    clocks: Arc<Clocks>,
    wake: Sender<()>,
    stopping: AtomicBool,
    journal_bytes: AtomicU64,
    syncs: AtomicU64,
}

/// What an instance starts with: its journal where it has one, and what the machine is told of it.
type Begun = (Option<Journal>, MachineSettings, Found);

/// Opens the folder, if there is one, and begins a new journal in it.
fn begin(settings: &Settings, limits: &Limits, clock: Clock) -> Result<Begun, Error> {
    let mut machine = MachineSettings {
        instance: settings.instance,
        incarnation: clock.now().0.max(1) as u64,
        lease: settings.lease.as_micros() as i64,
        resume: limits.session_resume,
        sessions: settings.remembered,
        durable: false,
        incomplete: !settings.trust_after_start,
    };
    let Some(folder) = &settings.folder else { return Ok((None, machine, Found::default())) };
    let opened = journal::open(folder.as_ref(), settings.instance)?;
    if let Some(remark) = &opened.remark {
        tracing::error!("sessions: {remark}");
    }
    let found = opened.found.clone().unwrap_or_default();
    machine.incarnation = machine.incarnation.max(found.incarnation + 1);
    machine.incomplete = opened.found.is_none() || found.incomplete;
    let begun = opened.begin(&Whole {
        instance: settings.instance,
        incarnation: machine.incarnation,
        entries: &found.entries,
        floor: found.floor,
        incomplete: machine.incomplete,
    });
    let journal = match begun? {
        Ok(journal) => Some(journal),
        Err(e) => {
            tracing::error!("sessions: nothing is kept on disk until the next start: {folder}: {e}");
            None
        }
    };
    machine.durable = journal.is_some();
    tracing::info!(
        sessions = found.entries.len(),
        incarnation = machine.incarnation,
        "sessions: {} restored from {folder}{}",
        found.entries.len(),
        if machine.incomplete { "; what was committed before this start must be seen by all" } else { "" }
    );
    Ok((journal, machine, found))
}

impl Sessions {
    /// Starts an instance: first its listener, since a refused connection proves to peers that nothing is told to
    /// clients here; then its journal, and its threads.
    pub fn start(
        settings: Settings,
        limits: &Arc<Limits>,
        clock: Clock,
        clocks: Arc<Clocks>,
    ) -> Result<Arc<Sessions>, Error> {
        let failed = |source| Error::Listen { addr: settings.listen, source };
        let listener = TcpListener::bind(settings.listen).map_err(failed)?;
        let at = listener.local_addr().map_err(failed)?;
        let (journal, machine, found) = begin(&settings, limits, clock)?;
        let (wake, woken) = bounded(1);
        let machine = Machine::new(machine, found.entries, found.floor);
        let sessions = Arc::new(Sessions::new(settings.clone(), machine, limits, clock, clocks, wake));
        let stack = limits.module_stack_bytes;
        if let Some(journal) = journal {
            let own = sessions.clone();
            spawn("journal", stack, move || own.keep(journal, &woken)).map_err(Error::Thread)?;
        }
        sessions.list(settings.peers.clone());
        let own = sessions.clone();
        spawn("sessions", limits.stack_bytes, move || own.accept(&listener)).map_err(Error::Thread)?;
        let own = sessions.clone();
        spawn("leases", limits.stack_bytes, move || own.tick()).map_err(Error::Thread)?;
        tracing::info!("sessions: instance {} takes peers on {at}", settings.instance);
        Ok(sessions)
    }

    /// Sessions that this process alone remembers: no folder, no peers, no threads.
    pub fn alone(limits: &Arc<Limits>, clock: Clock, clocks: Arc<Clocks>) -> Arc<Sessions> {
        let settings = Settings {
            instance: 0,
            cluster: String::new(),
            listen: ([127, 0, 0, 1], 0).into(),
            peers: BTreeMap::new(),
            folder: None,
            remembered: limits.sessions_alone,
            lease: Duration::from_secs(1),
            moves: false,
            trust_after_start: false,
        };
        let machine = MachineSettings {
            instance: 0,
            incarnation: 0,
            lease: 1_000_000,
            resume: 0,
            sessions: settings.remembered,
            durable: false,
            incomplete: true,
        };
        let (wake, _) = bounded(1);
        Arc::new(Sessions::new(settings, Machine::new(machine, [], None), limits, clock, clocks, wake))
    }

    fn new(
        settings: Settings,
        machine: Machine,
        limits: &Arc<Limits>,
        clock: Clock,
        clocks: Arc<Clocks>,
        wake: Sender<()>,
    ) -> Sessions {
        let inner = Inner {
            machine,
            writers: HashMap::new(),
            next: 0,
            appends: Vec::new(),
            ways: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            peers: BTreeMap::new(),
            relied: false,
            present_reads: 0,
            reads: 0,
        };
        Sessions {
            inner: Mutex::new(inner),
            settings,
            limits: limits.clone(),
            clock,
            clocks,
            wake,
            stopping: AtomicBool::new(false),
            journal_bytes: AtomicU64::new(0),
            syncs: AtomicU64::new(0),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn now(&self) -> Now {
        let at = self.clock.now();
        Now { at, present: self.clocks.present(at) }
    }

    fn feed(&self, event: Event) {
        self.feed_locked(&mut self.lock(), event);
    }

    fn feed_locked(&self, inner: &mut Inner, event: Event) {
        let mut actions = Vec::new();
        inner.machine.handle(self.now(), event, &mut actions);
        self.act(inner, actions);
    }

    fn act(&self, inner: &mut Inner, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Append(seq, key, at) => {
                    inner.appends.push(Append::Commit(seq, key, at));
                    _ = self.wake.try_send(());
                }
                Action::AppendFloor(at) => {
                    inner.appends.push(Append::Floor(at));
                    _ = self.wake.try_send(());
                }
                Action::Push(peer, push) => {
                    inner.ways.get(&peer).into_iter().for_each(|w| w.send(Frame::Push(push.clone())));
                }
                Action::PushAll(peer, seq) => {
                    let Some(way) = inner.ways.get(&peer) else { continue };
                    let mut all: Vec<(Key, i64)> =
                        inner.machine.kept().iter().map(|(k, t)| (k, t.0)).collect();
                    // Oldest first: the peer's oldest generations are to be ours.
                    all.reverse();
                    for part in all.chunks(self.limits.session_chunk) {
                        way.send(Frame::Push(Push::All { entries: part.to_vec() }));
                    }
                    let floor = inner.machine.floor().filter(|_| !inner.machine.floor_due()).map(|t| t.0);
                    way.send(Frame::Push(Push::Whole { seq, floor }));
                }
                Action::Welcome(peer, incarnation, holds) => {
                    inner.arrivals.get(&peer).into_iter().for_each(|w| {
                        w.send(Frame::Welcome { incarnation, holds });
                    });
                }
                Action::Confirm(peer, seq) => {
                    inner.arrivals.get(&peer).into_iter().for_each(|w| w.send(Frame::Confirm(seq)));
                }
                Action::Ask(peer, at) => {
                    inner.arrivals.get(&peer).into_iter().for_each(|w| w.send(Frame::Ask(at)));
                }
                Action::Drop(peer) => {
                    if let Some(w) = inner.arrivals.get(&peer) {
                        tracing::error!("sessions: peer {peer} broke the protocol; it has to connect again");
                        _ = w.socket.shutdown(Shutdown::Both);
                    }
                }
                Action::Release(ticket) => {
                    inner.writers.remove(&ticket).into_iter().for_each(|w| _ = w.try_send(true));
                }
                Action::Fail(ticket) => {
                    inner.writers.remove(&ticket).into_iter().for_each(|w| _ = w.try_send(false));
                }
                // Answered where the connection is taken.
                Action::Refuse(..) => {}
                Action::Reincarnate(n) => {
                    tracing::warn!(
                        "sessions: peers know a later start than this one's clock says: now incarnation {n}"
                    );
                }
                Action::Superseded(n) => {
                    tracing::error!(
                        "sessions: instance {} was started again elsewhere (incarnation {n}): requests of named \
                         sessions are refused here",
                        self.settings.instance
                    );
                }
            }
        }
    }

    // ---- for fronts ----

    /// What a read must see; an error is why named sessions' requests are not taken here.
    pub fn need(&self, who: Who) -> Result<Option<Time>, Stopped> {
        let now = self.now();
        let mut inner = self.lock();
        match who {
            Who::Own(key) => Ok(inner.machine.own_need(key)),
            Who::Named(key) => {
                if let Some(why) = inner.machine.stopped() {
                    return Err(why);
                }
                inner.reads += 1;
                if inner.machine.floor_due() || !inner.machine.relies(now.at) {
                    inner.present_reads += 1;
                }
                Ok(inner.machine.need(key, now))
            }
        }
    }

    /// Whether requests of this session are taken here at all; an error is why not.
    pub fn admits(&self, who: Who) -> Result<(), Stopped> {
        match who {
            Who::Own(_) => Ok(()),
            Who::Named(_) => self.lock().machine.stopped().map_or(Ok(()), Err),
        }
    }

    /// Takes in a served write, and waits until its session's later reads can't miss it, wherever they come in.
    /// `false`: the client must not be told that it was served.
    pub fn committed(&self, who: Who, at: Time, until: Time) -> bool {
        let key = match who {
            Who::Own(key) => {
                self.feed(Event::Own(key, at));
                return true;
            }
            Who::Named(key) => key,
        };
        let (to, released) = bounded(1);
        let ticket = {
            let mut inner = self.lock();
            inner.next += 1;
            let ticket = inner.next;
            inner.writers.insert(ticket, to);
            self.feed_locked(&mut inner, Event::Commit(ticket, key, at));
            ticket
        };
        let told = released.recv_deadline(self.clock.instant_at(until));
        if told.is_err() {
            self.lock().writers.remove(&ticket);
        }
        told.unwrap_or(false)
    }

    // ---- membership ----

    /// Takes another list of peers.
    pub fn list(self: &Arc<Self>, peers: BTreeMap<Instance, SocketAddr>) {
        let mut inner = self.lock();
        let new: Vec<(Instance, SocketAddr)> =
            peers.iter().filter(|(n, a)| inner.peers.get(n) != Some(a)).map(|(n, a)| (*n, *a)).collect();
        // A peer that is listed elsewhere now is met there alone.
        let gone = |n: &Instance| peers.get(n) != inner.peers.get(n);
        let left: Vec<Instance> = inner.peers.keys().copied().filter(gone).collect();
        for peer in left {
            let ways = [inner.ways.remove(&peer), inner.arrivals.remove(&peer)];
            ways.iter().flatten().for_each(|w| _ = w.socket.shutdown(Shutdown::Both));
            self.feed_locked(&mut inner, Event::Unlinked(peer));
            self.feed_locked(&mut inner, Event::Left(peer));
        }
        inner.peers = peers;
        let listed = inner.peers.keys().copied().collect();
        self.feed_locked(&mut inner, Event::Peers(listed));
        drop(inner);
        for (peer, addr) in new {
            let own = self.clone();
            let dial = move || own.dial(peer, addr);
            if let Err(e) = spawn("peer-to", self.limits.module_stack_bytes, dial) {
                tracing::error!("sessions: no thread for peer {peer}: {e}");
            }
        }
    }

    /// Ends: what waits is told, and nothing is taken any more.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
        _ = self.wake.try_send(());
    }

    // ---- time ----

    fn tick(&self) {
        let pause = self.settings.lease / 10;
        while !self.stopping.load(Ordering::Acquire) {
            std::thread::sleep(pause);
            let mut inner = self.lock();
            self.feed_locked(&mut inner, Event::Tick);
            let relies = inner.machine.relies(self.clock.now()) && !inner.machine.floor_due();
            if std::mem::replace(&mut inner.relied, relies) != relies {
                if relies {
                    tracing::info!("sessions: every peer's news is relied on");
                } else {
                    let standings = inner.machine.standings(self.clock.now());
                    let missing: Vec<String> =
                        standings.iter().filter(|s| !s.relied_on).map(|s| s.instance.to_string()).collect();
                    tracing::warn!(
                        "sessions: no news to rely on from peer {}: reads of named sessions see the present",
                        missing.join(", ")
                    );
                }
            }
        }
    }

    // ---- the journal ----

    /// What a rewrite puts down, with everything up to this commit.
    fn all(inner: &mut Inner) -> (Vec<(Key, Time)>, Option<Time>, bool, u64) {
        inner.appends.clear();
        let mut entries: Vec<(Key, Time)> = inner.machine.kept().iter().collect();
        entries.reverse();
        let due = inner.machine.floor_due();
        (entries, inner.machine.floor(), due, inner.machine.seq())
    }

    fn rewrite(&self, journal: &mut Journal, event: impl FnOnce(u64) -> Option<Event>) -> io::Result<u64> {
        let ((entries, floor, incomplete, seq), incarnation) = {
            let mut inner = self.lock();
            let all = Sessions::all(&mut inner);
            if let Some(event) = event(all.3) {
                self.feed_locked(&mut inner, event);
            }
            (all, inner.machine.incarnation())
        };
        let instance = self.settings.instance;
        journal.rewrite(&Whole { instance, incarnation, entries: &entries, floor, incomplete })?;
        Ok(seq)
    }

    fn keep(&self, mut journal: Journal, woken: &Receiver<()>) {
        let (mut lost, mut invalid) = (false, true);
        loop {
            let woken = woken.recv_timeout(self.limits.session_disk_retry);
            if woken == Err(RecvTimeoutError::Disconnected) || self.stopping.load(Ordering::Acquire) {
                return;
            }
            if !invalid {
                invalid = self.invalidate(&journal);
                lost = true;
                continue;
            }
            if lost {
                if woken.is_err()
                    && let Ok(seq) = self.rewrite(&mut journal, |seq| Some(Event::JournalBack(seq)))
                {
                    tracing::info!("sessions: commits are kept on disk again");
                    lost = false;
                    self.feed(Event::Synced(seq));
                } else if woken.is_err() {
                    invalid = self.invalidate(&journal);
                }
                continue;
            }
            match self.write(&mut journal) {
                Ok(()) => {}
                Err(e) => {
                    tracing::error!(
                        "sessions: the journal can't be kept: {e}; the next start takes the floor"
                    );
                    (lost, invalid) = (true, self.invalidate(&journal));
                }
            }
        }
    }

    /// Makes sure that no later start believes what the folder holds: commits are missing there from now on.
    fn invalidate(&self, journal: &Journal) -> bool {
        match journal.invalidate() {
            Ok(()) => {
                self.feed(Event::JournalLost);
                true
            }
            Err(e) => {
                tracing::error!(
                    "sessions: the journal can't be deleted: {e}; named sessions' writes are failed"
                );
                self.feed(Event::JournalStuck);
                false
            }
        }
    }

    /// Writes what waits, all with one sync.
    fn write(&self, journal: &mut Journal) -> io::Result<()> {
        let appends = std::mem::take(&mut self.lock().appends);
        let (mut commits, mut last) = (Vec::with_capacity(appends.len()), 0);
        for a in &appends {
            match a {
                Append::Commit(seq, key, at) => {
                    commits.push((*key, at.0));
                    last = *seq;
                }
                Append::Floor(at) => journal.add(&Record::Floor(at.0))?,
            }
        }
        if !commits.is_empty() {
            journal.add(&Record::Commits(commits))?;
            self.syncs.fetch_add(1, Ordering::Relaxed);
            self.feed(Event::Synced(last));
        }
        if journal.wants_rewrite(self.limits.session_compact_bytes) {
            let seq = self.rewrite(journal, |_| None)?;
            self.feed(Event::Synced(seq));
        }
        self.journal_bytes.store(journal.bytes(), Ordering::Relaxed);
        Ok(())
    }

    // ---- peers ----

    fn way(&self, socket: TcpStream) -> io::Result<(Way, Receiver<Frame>)> {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(self.limits.session_silent))?;
        socket.set_write_timeout(Some(self.limits.session_silent))?;
        let (queue, waiting) = bounded(self.limits.session_queue);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        Ok((Way { number, queue, socket: Arc::new(socket) }, waiting))
    }

    fn listed(&self, peer: Instance, addr: SocketAddr) -> bool {
        !self.stopping.load(Ordering::Acquire) && self.lock().peers.get(&peer) == Some(&addr)
    }

    /// Brings our commits to a peer for as long as it is listed at this address.
    fn dial(self: &Arc<Self>, peer: Instance, addr: SocketAddr) {
        let mut said = String::new();
        let mut say = |text: String, level: tracing::Level| {
            // Tried many times a second: only what is new is worth a line.
            if text != said {
                match level {
                    tracing::Level::INFO => tracing::info!("sessions: peer {peer} {text}"),
                    _ => tracing::warn!("sessions: peer {peer} {text}"),
                }
                said = text;
            }
        };
        while self.listed(peer, addr) {
            let begun = self.clock.now();
            match routing::socket::connect(addr, self.limits.connect) {
                Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {
                    // Whoever may have moved is not proven gone by the address that it had.
                    if !self.settings.moves {
                        self.feed(Event::Down(peer, begun));
                    }
                    say("is down: its address refuses connections".into(), tracing::Level::WARN);
                }
                Err(e) => say(format!("can't be reached: {e}"), tracing::Level::WARN),
                Ok(socket) => match self.bring(peer, socket) {
                    Ok(Some(why)) => say(format!("takes nothing from here: {why:?}"), tracing::Level::WARN),
                    Ok(None) => say("is linked no more".into(), tracing::Level::INFO),
                    Err(e) => say(format!("is linked no more: {e}"), tracing::Level::WARN),
                },
            }
            std::thread::sleep(self.settings.lease / 6);
        }
    }

    /// One connection on which our commits go to a peer; why it takes none.
    fn bring(self: &Arc<Self>, peer: Instance, socket: TcpStream) -> io::Result<Option<Why>> {
        let most = self.limits.session_frame_bytes;
        let (way, waiting) = self.way(socket)?;
        let (socket, number) = (way.socket.clone(), way.number);
        let incarnation = self.lock().machine.incarnation();
        let (cluster, from) = (self.settings.cluster.clone(), self.settings.instance);
        frames::write(&*socket, &Frame::Hello { version: VERSION, cluster, from, incarnation, to: peer })?;
        let (held, holds) = match frames::read(&*socket, most)? {
            Frame::Welcome { incarnation, holds } => (incarnation, holds),
            Frame::Refused(why) => {
                self.feed(Event::Refused(peer, why));
                return Ok(Some(why));
            }
            _ => return Err(io::Error::other("no answer to a hello")),
        };
        {
            let mut inner = self.lock();
            if !inner.peers.contains_key(&peer) {
                return Ok(None);
            }
            inner.ways.insert(peer, way);
            self.feed_locked(&mut inner, Event::Accepted { peer, incarnation: held, holds });
        }
        tracing::info!("sessions: peer {peer} takes our commits, from {holds} on");
        let (own, from_peer) = (self.clone(), socket.clone());
        let read = move || {
            loop {
                match frames::read(&*from_peer, most) {
                    Ok(Frame::Confirm(seq)) => own.feed_of(peer, number, Event::Confirmed(peer, seq)),
                    Ok(Frame::Ask(at)) => own.feed_of(peer, number, Event::Asked(peer, at)),
                    _ => break,
                }
            }
            // Ends the writer as well: its queue closes.
            own.unlink(peer, number);
            _ = from_peer.shutdown(Shutdown::Both);
        };
        if let Err(e) = spawn("peer-says", self.limits.stack_bytes, read) {
            self.unlink(peer, number);
            return Err(e);
        }
        let ended = carry(&socket, &waiting, self.limits.session_chunk);
        _ = socket.shutdown(Shutdown::Both);
        self.unlink(peer, number);
        ended.map(|()| None)
    }

    /// Feeds an event of our connection to a peer, if that is still the one in use.
    fn feed_of(&self, peer: Instance, number: u64, event: Event) {
        let mut inner = self.lock();
        if inner.ways.get(&peer).is_some_and(|w| w.number == number) {
            self.feed_locked(&mut inner, event);
        }
    }

    fn unlink(&self, peer: Instance, number: u64) {
        let mut inner = self.lock();
        if inner.ways.get(&peer).is_some_and(|w| w.number == number) {
            inner.ways.remove(&peer);
            self.feed_locked(&mut inner, Event::Unlinked(peer));
        }
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        for socket in listener.incoming() {
            let own = self.clone();
            let take = move || {
                if let Ok(s) = socket
                    && let Err(e) = own.take(s)
                {
                    tracing::debug!("sessions: a peer's connection has ended: {e}");
                }
            };
            if let Err(e) = spawn("peer-from", self.limits.module_stack_bytes, take) {
                tracing::error!("sessions: no thread for a peer: {e}");
            }
        }
    }

    /// One connection that somebody has opened.
    fn take(self: &Arc<Self>, socket: TcpStream) -> io::Result<()> {
        let most = self.limits.session_frame_bytes;
        let (way, waiting) = self.way(socket)?;
        let (socket, number) = (way.socket.clone(), way.number);
        let (version, cluster, from, incarnation, to) = match frames::read(&*socket, most)? {
            Frame::Hello { version, cluster, from, incarnation, to } => {
                (version, cluster, from, incarnation, to)
            }
            Frame::Show => return frames::write(&*socket, &Frame::Shown(self.shown())),
            _ => return Err(io::Error::other("no hello")),
        };
        let mut why = (version != VERSION).then_some(Why::WrongVersion);
        why = why.or((cluster != self.settings.cluster).then_some(Why::WrongCluster));
        why = why.or((to != self.settings.instance).then_some(Why::WrongInstance));
        if why.is_none() {
            let mut inner = self.lock();
            let mut actions = Vec::new();
            inner.machine.handle(self.now(), Event::Introduced(from, incarnation), &mut actions);
            why = actions.iter().find_map(|a| match a {
                Action::Refuse(_, why) => Some(*why),
                _ => None,
            });
            if why.is_none()
                && let Some(old) = inner.arrivals.insert(from, way)
            {
                _ = old.socket.shutdown(Shutdown::Both);
            }
            self.act(&mut inner, actions);
        }
        if let Some(why) = why {
            tracing::warn!("sessions: instance {from} (incarnation {incarnation}) is not taken: {why:?}");
            return frames::write(&*socket, &Frame::Refused(why));
        }
        let (to_peer, chunk) = (socket.clone(), self.limits.session_chunk);
        let write = move || {
            _ = carry(&to_peer, &waiting, chunk);
            _ = to_peer.shutdown(Shutdown::Both);
        };
        let ended = spawn("peer-told", self.limits.stack_bytes, write).and_then(|()| {
            loop {
                let Frame::Push(push) = frames::read(&*socket, most)? else {
                    return Err(io::Error::other("no push"));
                };
                let mut inner = self.lock();
                // What an older connection still brings is nobody's.
                if inner.arrivals.get(&from).is_none_or(|w| w.number != number) {
                    return Ok(());
                }
                self.feed_locked(&mut inner, Event::Pushed(from, push));
            }
        });
        let mut inner = self.lock();
        if inner.arrivals.get(&from).is_some_and(|w| w.number == number) {
            inner.arrivals.remove(&from);
            self.feed_locked(&mut inner, Event::Left(from));
        }
        ended
    }

    /// What there is to see, as JSON.
    fn shown(&self) -> String {
        let now = self.clock.now();
        let inner = self.lock();
        let m = &inner.machine;
        json!({
            "instance": self.settings.instance,
            "incarnation": m.incarnation(),
            "stopped": m.stopped().map(|why| why.to_string()),
            "sessions": m.kept().len(),
            "sessions_bytes_most": crate::kept::Kept::bound_bytes(self.settings.remembered),
            "folded": m.kept().folded(),
            "floor_us": m.floor().map(|t| t.0),
            "floor_due": m.floor_due(),
            "on_disk": m.durable(),
            "journal_bytes": self.journal_bytes.load(Ordering::Relaxed),
            "syncs": self.syncs.load(Ordering::Relaxed),
            "commits": m.seq(),
            "writes_waiting": m.waiting(),
            "reads": inner.reads,
            "reads_of_the_present": inner.present_reads,
            "relies_on_all": m.relies(now),
            "peers": m.standings(now),
        })
        .to_string()
    }
}

/// Writes what is queued, as much at a time as is there, until the queue closes or the socket fails.
fn carry(socket: &TcpStream, waiting: &Receiver<Frame>, chunk: usize) -> io::Result<()> {
    for first in waiting {
        let mut bytes = Vec::new();
        let mut next = Some(first);
        while let Some(frame) = next {
            let mut frame = frame;
            next = waiting.try_recv().ok();
            // Commits that follow each other go as one frame.
            while let Frame::Push(Push::Commits { entries, .. }) = &mut frame
                && entries.len() < chunk
                && let Some(Frame::Push(Push::Commits { entries: more, .. })) = &mut next
            {
                entries.append(more);
                next = waiting.try_recv().ok();
            }
            frames::push(&mut bytes, &frame)?;
            if bytes.len() > (1 << 20) && next.is_some() {
                io::Write::write_all(&mut &*socket, &bytes)?;
                bytes.clear();
            }
        }
        io::Write::write_all(&mut &*socket, &bytes)?;
    }
    Ok(())
}

/// Asks an instance that runs what there is to see, as JSON.
pub fn ask(addr: SocketAddr, patience: Duration) -> Result<String, AskError> {
    let failed = |source| AskError::Away { addr, source };
    let socket = TcpStream::connect_timeout(&addr, patience).map_err(failed)?;
    socket.set_read_timeout(Some(patience)).map_err(failed)?;
    frames::write(&socket, &Frame::Show).map_err(failed)?;
    match frames::read(&socket, 1 << 20).map_err(failed)? {
        Frame::Shown(text) => Ok(text),
        _ => Err(AskError::Other(addr)),
    }
}
