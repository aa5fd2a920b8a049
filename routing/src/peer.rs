//! The actor of all instances: for each it owns the links to it, reuses the warm ones and retires them before the
//! instance would. One thread does for all: a router of a large fleet meets most instances seldom.
//!
//! A link has a thread only while it carries work; one that rests is parked here with its connection. A router
//! keeps a warm link to most instances it meets, and hundreds of routers on one host each holding a thread for every
//! resting link run the host out of threads.
use crate::messages::{Key, Message, PeerId, PeerMessage};
use crate::spawn;
use crate::stop::{Service, Stop};
use crate::wire::{Link, Reply, Unsent, Wire, Work};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use decision::{MemberId, Outcome};
use settings::Limits;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

enum Task<W: Wire> {
    Attempt(Key, Arc<W::Payload>, Instant),
    Probe,
}

struct Job<W: Wire> {
    task: Task<W>,
    stop: Stop,
}

/// A link between jobs, with no thread of its own: its connection (none yet for a new one), when that last
/// answered, and its place in the bound of links.
pub struct Parked<W: Wire> {
    link: Option<W::Link>,
    since: Instant,
    counted: Counted,
}

/// What a peer and its links share.
struct Shared<W: Wire> {
    wire: Arc<W>,
    member: MemberId,
    addr: SocketAddr,
    service: Service,
    limits: Arc<Limits>,
    module: Sender<Message<W>>,
    /// Links of all peers together.
    open: Arc<AtomicUsize>,
}

/// To the actor of all peers: for which, and what.
pub type ToPeers<W> = Sender<(PeerId, PeerMessage<W>)>;

struct Peer<W: Wire> {
    id: PeerId,
    shared: Arc<Shared<W>>,
    own: ToPeers<W>,
    /// Links at work.
    busy: usize,
    /// The warmest last.
    idle: Vec<Parked<W>>,
}

struct Peers<W: Wire> {
    wire: Arc<W>,
    limits: Arc<Limits>,
    module: Sender<Message<W>>,
    /// Links of all peers together.
    open: Arc<AtomicUsize>,
    own: ToPeers<W>,
    peers: HashMap<PeerId, Peer<W>>,
}

/// Starts the actor of all instances.
pub fn start<W: Wire>(
    wire: Arc<W>,
    limits: Arc<Limits>,
    module: Sender<Message<W>>,
    open: Arc<AtomicUsize>,
) -> std::io::Result<ToPeers<W>> {
    let (own, mailbox) = bounded(limits.mailbox);
    let (to, stack) = (own.clone(), limits.stack_bytes);
    spawn("peer", stack, move || {
        Peers { wire, limits, module, open, own, peers: HashMap::new() }.run(&mailbox);
    })?;
    Ok(to)
}

impl<W: Wire> Peers<W> {
    fn run(mut self, mailbox: &Receiver<(PeerId, PeerMessage<W>)>) {
        let every = self.limits.link_idle / 4;
        let mut tidied = Instant::now();
        loop {
            match mailbox.recv_timeout(every.saturating_sub(tidied.elapsed())) {
                Ok((id, PeerMessage::Start { member, addr, service })) => {
                    self.begin(id, member, addr, service);
                }
                // What comes for one that is forgotten is an end of its links' work.
                Ok((id, PeerMessage::Forgotten)) => _ = self.peers.remove(&id),
                Ok((id, message)) => {
                    if let Some(peer) = self.peers.get_mut(&id) {
                        peer.take(message);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if tidied.elapsed() >= every {
                tidied = Instant::now();
                self.tidy(mailbox);
            }
        }
    }

    /// Finds also what a full mailbox kept from being told: who is out of service, and who is forgotten.
    fn tidy(&mut self, mailbox: &Receiver<(PeerId, PeerMessage<W>)>) {
        self.peers.values_mut().for_each(Peer::tidy);
        let forgotten = |p: &Peer<W>| p.shared.service.is_forgotten();
        let gone: Vec<PeerId> = self.peers.values().filter(|p| forgotten(p)).map(|p| p.id).collect();
        // Work that was handed over before is still owed its end, and nothing is handed over after.
        if mailbox.is_empty() {
            gone.iter().for_each(|id| _ = self.peers.remove(id));
        }
    }

    fn begin(&mut self, id: PeerId, member: MemberId, addr: SocketAddr, service: Service) {
        let (wire, limits, module) = (self.wire.clone(), self.limits.clone(), self.module.clone());
        let open = self.open.clone();
        let shared = Arc::new(Shared { wire, member, addr, service, limits, module, open });
        self.peers.insert(id, Peer { id, shared, own: self.own.clone(), busy: 0, idle: Vec::new() });
    }
}

impl<W: Wire> Peer<W> {
    fn take(&mut self, message: PeerMessage<W>) {
        match message {
            PeerMessage::Attempt(key, payload, until, stop) => {
                self.begin(Task::Attempt(key, payload, until), stop);
            }
            PeerMessage::Probe => self.begin(Task::Probe, Stop::new(self.shared.service.clone())),
            PeerMessage::Ended { kept } => {
                self.busy = self.busy.saturating_sub(1);
                self.idle.extend(kept);
            }
            PeerMessage::Trim { keep } => {
                let least = self.shared.limits.link_idle_least;
                let mut spare = self.idle.len().saturating_sub(keep);
                self.idle.retain(|l| {
                    let goes = spare > 0 && l.since.elapsed() >= least;
                    spare -= usize::from(goes);
                    !goes
                });
            }
            PeerMessage::Tidy => {}
            // These are the business of all peers' actor.
            PeerMessage::Start { .. } | PeerMessage::Forgotten => {}
        }
        self.tidy();
    }

    /// Lets go of what has rested for long, and of all that rests at an instance that is out of service.
    fn tidy(&mut self) {
        let (oldest, takes_work) = (self.shared.limits.link_idle, self.shared.service.takes_work());
        self.idle.retain(|l| takes_work && l.since.elapsed() < oldest);
    }

    fn begin(&mut self, task: Task<W>, stop: Stop) {
        // Nothing new to what drains or is gone, and nothing for whom nobody waits any more; the module has decided
        // this before it heard the news.
        if !stop.may_begin() {
            return self.shared.report(&task, Reply::bare(Outcome::Moot));
        }
        let job = Job { task, stop };
        if let Some(parked) = self.rested() {
            return self.carry_on(job, parked);
        }
        let limits = &self.shared.limits;
        let taken = self.shared.open.fetch_add(1, Ordering::Relaxed);
        let counted = Counted(self.shared.open.clone());
        if 4 * taken >= 3 * limits.link_connections {
            // In time, before attempts meet the bound while other peers' links rest. The last warm link to each
            // instance goes only when that was not enough: with many instances each is met seldom.
            let keep = usize::from(16 * taken < 15 * limits.link_connections);
            _ = self.shared.module.try_send(Message::Crowded { keep });
        }
        if taken >= limits.link_connections || self.busy >= limits.links_per_peer {
            return self.shared.report(&job.task, Reply::bare(Outcome::Moot));
        }
        self.carry_on(job, Parked { link: None, since: Instant::now(), counted });
    }

    /// Gives one job to a thread of its own, on the parked connection if there is one.
    fn carry_on(&mut self, job: Job<W>, parked: Parked<W>) {
        // The job goes through the channel, so that it is still here if no thread can be started.
        let (jobs, incoming) = bounded(1);
        _ = jobs.send(job);
        let back = incoming.clone();
        let (shared, peers, id) = (self.shared.clone(), self.own.clone(), self.id);
        let started = spawn("link", self.shared.limits.stack_bytes, move || {
            if let Ok(job) = incoming.try_recv() {
                run_link(&shared, &peers, id, job, parked);
            }
        });
        match started {
            Ok(()) => self.busy += 1,
            Err(e) => {
                tracing::error!("peer {}: no thread for a link: {e}", self.shared.addr);
                if let Ok(job) = back.try_recv() {
                    self.shared.report(&job.task, Reply::bare(Outcome::Moot));
                }
            }
        }
    }

    /// The warmest link that has rested long enough to be looked at, or else the one that will have soonest.
    fn rested(&mut self) -> Option<Parked<W>> {
        let least = self.shared.limits.link_settle;
        let at = self.idle.iter().rposition(|l| l.since.elapsed() >= least);
        (!self.idle.is_empty()).then(|| self.idle.remove(at.unwrap_or(0)))
    }
}

/// Counts a link while it lives.
pub struct Counted(Arc<AtomicUsize>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl<W: Wire> Shared<W> {
    fn report(&self, task: &Task<W>, reply: Reply<W::Answer>) {
        let member = self.member;
        // The instance is listed elsewhere by now: what could not be reached, or was only asked how it is, was the old one.
        let old = matches!(task, Task::Probe) || reply.outcome == Outcome::ConnectFailed;
        let reply = if old && self.service.is_forgotten() { Reply::bare(Outcome::Moot) } else { reply };
        // The module outlives its peers but for the very end of the program.
        _ = self.module.send(match task {
            Task::Attempt(key, ..) => Message::Ended { key: *key, member, reply },
            Task::Probe => Message::Probed { member, outcome: reply.outcome, report: reply.report },
        });
    }
}

/// Carries one job on the parked connection or a new one, then hands a connection that takes more back to the peer.
fn run_link<W: Wire>(
    shared: &Shared<W>,
    peers: &ToPeers<W>,
    id: PeerId,
    job: Job<W>,
    Parked { mut link, since: answered, counted }: Parked<W>,
) {
    // What comes right behind an answer has to be there before the link is looked at.
    let rest = shared.limits.link_settle.saturating_sub(answered.elapsed());
    if link.is_some() && !rest.is_zero() {
        std::thread::sleep(rest);
    }
    // Whatever goes wrong in a wire's code, the work has an end, and the link's place is free again.
    let carried = catch_unwind(AssertUnwindSafe(|| carry(shared, &mut link, answered, &job)));
    let reply = carried.unwrap_or_else(|_| Reply::bare(Outcome::Reset));
    // An instance counts the rest of a connection that carried nothing from its last answer on, as it did before.
    let since = if reply.outcome == Outcome::Moot { answered } else { Instant::now() };
    let kept = (link.is_some() && reply.reusable).then(|| Parked { link, since, counted });
    // The peer hears first: the module's next attempt finds this link idle.
    _ = peers.send((id, PeerMessage::Ended { kept }));
    shared.report(&job.task, reply);
}

/// One job on the link at hand, or on a new one. A pooled connection that broke before the last byte was
/// written has carried nothing, so the job goes out once more on a fresh one, if it may still begin by then.
fn carry<W: Wire>(
    shared: &Shared<W>,
    link: &mut Option<W::Link>,
    answered: Instant,
    job: &Job<W>,
) -> Reply<W::Answer> {
    loop {
        let pooled = link.as_mut().is_some_and(|l| l.alive(answered.elapsed()));
        if !pooled {
            // Its descriptor is free before another is taken.
            *link = None;
            if !job.stop.may_begin() {
                return Reply::bare(Outcome::Moot);
            }
            let begun = Instant::now();
            let opened = shared.wire.open(shared.addr);
            let (member, took) = (shared.member.0, begun.elapsed().as_micros());
            tracing::debug!(member, took, "link: {:?}", opened.as_ref().err());
            *link = match opened {
                Ok(l) => Some(l),
                Err(outcome) => return Reply::bare(outcome),
            };
        }
        let Some(l) = link.as_mut() else { return Reply::bare(Outcome::ConnectFailed) };
        job.stop.hold(l.socket());
        let work = match &job.task {
            Task::Attempt(_, payload, until) => Work::Attempt(&**payload, *until),
            Task::Probe => Work::Probe,
        };
        let carried = l.carry(work, &job.stop);
        // Whoever stops this work late must not shut what carries the next.
        job.stop.release();
        match carried {
            // A pooled connection that breaks under a probe tells of itself, not of the instance: a new one does.
            Ok(Reply { outcome: Outcome::Reset, .. }) if pooled && matches!(job.task, Task::Probe) => {
                *link = None
            }
            Ok(reply) => return reply,
            // Nothing was written on it: it stays warm.
            Err(Unsent::Stopped) => return Reply { reusable: true, ..Reply::bare(Outcome::Moot) },
            Err(Unsent::Broken) => {
                *link = None;
                if !pooled {
                    return Reply::bare(Outcome::ConnectFailed);
                }
            }
        }
    }
}
