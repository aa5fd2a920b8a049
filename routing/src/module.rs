//! The actor that owns the decisions: it feeds the [`Router`] and carries out what that wants done. It owns the
//! clock and the timers, never waits for a socket, and claims the single final answer of each request.
use crate::clock::Clock;
use crate::figures::Figures;
use crate::list::ListHandle;
use crate::messages::{Final, Incoming, Key, ListNews, Message, PeerId, PeerMessage};
use crate::peer::ToPeers;
use crate::probes::{Probes, Turn};
use crate::stop::{Service, Stop};
use crate::views::{Change, Views};
use crate::wire::{Reply, Wire};
use crate::{list, peer, spawn};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use decision::{
    Action, Event, GroupId, MemberEntry, MemberId, MemberState, Micros, Outcome, Report, Request, RequestId,
    Router, Settings, Time,
};
use settings::Limits;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

mod placed;

/// The names of instances that have answered, while somebody wants to know.
#[derive(Debug, Default)]
pub struct Answered {
    wanted: AtomicBool,
    names: Mutex<HashSet<String>>,
}

impl Answered {
    fn note(&self, name: &str) {
        if self.wanted.load(Ordering::Relaxed) {
            let mut names = self.names.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
            if !names.contains(name) {
                names.insert(name.to_string());
            }
        }
    }

    /// Says whether names are wanted from now on, and gives those since the last time.
    pub fn take(&self, wanted: bool) -> HashSet<String> {
        self.wanted.store(wanted, Ordering::Relaxed);
        std::mem::take(&mut *self.names.lock().unwrap_or_else(|poisoned| poisoned.into_inner()))
    }
}

/// Hands requests to the module.
pub struct Handle<W: Wire> {
    to: Sender<Message<W>>,
    next: Arc<AtomicU64>,
    figures: Option<Arc<Figures>>,
    /// The clock that deadlines are read on.
    pub clock: Clock,
}

impl<W: Wire> Clone for Handle<W> {
    fn clone(&self) -> Self {
        let (to, next, figures) = (self.to.clone(), self.next.clone(), self.figures.clone());
        Handle { to, next, figures, clock: self.clock }
    }
}

impl<W: Wire> Handle<W> {
    /// Hands over a request. When the program is ending nobody takes it, and its channel closes unanswered.
    pub fn submit(&self, incoming: Incoming<W>) -> RequestId {
        let id = RequestId(self.next.fetch_add(1, Ordering::Relaxed));
        _ = self.to.send(Message::Arrived(id, incoming));
        id
    }

    /// The client of a request is gone.
    pub fn left(&self, id: RequestId) {
        _ = self.to.send(Message::Left(id));
    }

    /// The client of a request has cancelled it: it gets [`Final::Cancelled`] at once, unless it has its final answer,
    /// and nothing further is sent for it.
    pub fn cancel(&self, id: RequestId) {
        _ = self.to.send(Message::Cancelled(id));
    }

    /// A request of this class was refused before it came here.
    pub fn refused(&self, class: usize) {
        if let Some(f) = self.figures.as_ref().and_then(|f| f.classes.get(class)) {
            f.deferred.inc();
        }
    }

    /// So many processes serve as this router from now on: each takes its part of the room at instances.
    pub fn sharing(&self, processes: u32) {
        _ = self.to.send(Message::Sharing(processes));
    }

    /// News of where tenants' data may be. It binds what arrives later and what waits; where no places are kept it says
    /// nothing.
    pub fn places(&self, news: placement::News) {
        _ = self.to.send(Message::Places(news));
    }

    /// The room at instances is cut by so many routers from now on, this one included; the processes of
    /// [`Handle::sharing`] come on top.
    pub fn drivers(&self, routers: u32) {
        _ = self.to.send(Message::Drivers(routers));
    }
}

/// What the core starts with.
pub struct Start<W: Wire> {
    /// The wire to instances.
    pub wire: W,
    /// What the decisions go by.
    pub settings: Settings,
    /// Seed of the random numbers.
    pub seed: u64,
    /// The program's bounds.
    pub limits: Arc<Limits>,
    /// The clock that everything here goes by.
    pub clock: Clock,
    /// Notes which instances answer, where somebody asks for it.
    pub answered: Option<Arc<Answered>>,
    /// What is counted, where operators want to know.
    pub figures: Option<Arc<Figures>>,
    /// Tenants' data is kept in its place, where rules come with [`Handle::places`]; until the first of them every request
    /// is refused. Without, tenants and sites say nothing.
    pub places: Option<placement::Settings>,
}

impl<W: Wire> Start<W> {
    /// Starts the module's and the list's actors.
    pub fn run(self) -> std::io::Result<(Handle<W>, ListHandle)> {
        let (to, mailbox) = bounded(self.limits.mailbox);
        let (clock, stack) = (self.clock, self.limits.module_stack_bytes);
        let list = list::start(&self.limits, to.clone(), self.figures.clone())?;
        let figures = self.figures.clone();
        let longest = self.settings.max_come_back;
        // As the decisions have it.
        let come_back =
            |c: &decision::Class| longest.map(|most| Duration::from_micros(most.min(c.aim).max(0) as u64));
        let module = Module {
            writes: self.settings.classes.iter().map(|c| c.freshness == decision::Freshness::Write).collect(),
            drivers: self.settings.drivers,
            probes: Probes::new(&self.settings),
            come_back: self.settings.classes.iter().map(come_back).collect(),
            shut: BTreeSet::new(),
            views: self.places.map(|places| Box::new(Views::new(places, &self.settings.classes))),
            processes: 1,
            router: Router::new(self.settings, self.seed),
            wire: Arc::new(self.wire),
            limits: self.limits,
            clock,
            own: to.clone(),
            links: Arc::default(),
            peers: None,
            next_peer: 0,
            ids: HashMap::new(),
            members: HashMap::new(),
            next_member: 0,
            requests: HashMap::new(),
            timers: BinaryHeap::new(),
            deferred: VecDeque::new(),
            answered: self.answered,
            figures: self.figures,
            set_aside: 0,
        };
        spawn("module", stack, move || module.run(&mailbox))?;
        Ok((Handle { to, next: Arc::default(), figures, clock }, list))
    }
}

struct Peer<W: Wire> {
    name: String,
    addr: SocketAddr,
    /// What its attempts ask before they begin.
    service: Service,
    /// Its peer begins with the first work for it: of a long list, most instances are never asked here.
    peer: Option<(PeerId, ToPeers<W>)>,
}

impl<W: Wire> Peer<W> {
    /// Tells its peer, if that has begun; `false` where it can't be told: the actor of all peers may be waiting for this
    /// one, so this one never waits for it. What must not be lost is said by its [`Service`] or by an attempt's [`Stop`].
    fn tell(&self, message: PeerMessage<W>) -> bool {
        self.peer.as_ref().is_some_and(|(id, peers)| peers.try_send((*id, message)).is_ok())
    }

    fn in_service(&self, yes: bool) {
        if self.service.set(yes) && !yes {
            self.tell(PeerMessage::Tidy);
        }
    }

    fn forget(&self) {
        self.service.forget();
        self.tell(PeerMessage::Forgotten);
    }
}

/// An attempt that is out.
struct Out {
    number: u32,
    member: MemberId,
    stop: Stop,
}

struct Known<W: Wire> {
    payload: Arc<W::Payload>,
    class: usize,
    /// Its client stops waiting then.
    deadline: Time,
    write: bool,
    /// Taken by whoever claims the final answer.
    answer: Option<Sender<Final<W::Answer>>>,
    sent: u32,
    out: Vec<Out>,
    last: Option<Outcome>,
    /// How it goes by a view, where places are kept.
    placed: Option<Box<placed::Placed>>,
}

impl<W: Wire> Known<W> {
    /// Gives the final answer, if none was given; that is where a request counts. To a client that no longer waits it
    /// has failed, whatever the answer.
    fn claim(&mut self, answer: Final<W::Answer>, now: Time, figures: Option<&Figures>) {
        let Some(to) = self.answer.take() else { return };
        if let Some((f, class)) = figures.and_then(|f| f.classes.get(self.class).map(|c| (f, c))) {
            f.current.dec();
            match &answer {
                _ if now >= self.deadline => class.errored.inc(),
                Final::Served(..) => class.answered.inc(),
                Final::Refused(_) | Final::NoPlace(_) => class.deferred.inc(),
                Final::Failed(_) | Final::Cancelled => class.errored.inc(),
            }
        }
        // The front's channel has room for its one answer; a closed one means the client is gone.
        _ = to.try_send(answer);
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    /// The router asked to be woken.
    Wake,
    /// What operators see of the members is counted anew.
    Figures,
    /// An attempt's time is up.
    Attempt(RequestId, u32),
    /// Views of groups may change.
    Places,
    /// An instance is asked how it is.
    Probe(MemberId),
    /// The same, where it waited for this process's turn.
    Turn(MemberId),
}

struct Module<W: Wire> {
    router: Router,
    wire: Arc<W>,
    limits: Arc<Limits>,
    clock: Clock,
    own: Sender<Message<W>>,
    links: Arc<AtomicUsize>,
    /// The actor of all peers begins with the first of them.
    peers: Option<ToPeers<W>>,
    next_peer: PeerId,
    writes: Vec<bool>,
    ids: HashMap<String, MemberId>,
    members: HashMap<MemberId, Peer<W>>,
    next_member: u32,
    requests: HashMap<RequestId, Known<W>>,
    timers: BinaryHeap<Reverse<(Time, Due)>>,
    /// Messages to itself: what could not be handed to a peer.
    deferred: VecDeque<Message<W>>,
    answered: Option<Arc<Answered>>,
    figures: Option<Arc<Figures>>,
    /// Routers that share the instances: as the settings say, until somebody follows who lives.
    drivers: u32,
    probes: Probes,
    /// When a refused client is asked to come back, by class.
    come_back: Vec<Option<Duration>>,
    /// Groups with all of their instances out, by hand at least in part.
    shut: BTreeSet<GroupId>,
    /// Views of groups, where tenants' data is kept in its place.
    views: Option<Box<Views>>,
    /// Processes that serve as this router.
    processes: u32,
    /// Places for links that are another process's of this router.
    set_aside: usize,
}

/// How often what operators see of the members is counted, in microseconds.
const FIGURES_EVERY: Micros = 100_000;

impl<W: Wire> Module<W> {
    fn run(mut self, mailbox: &Receiver<Message<W>>) {
        self.count_members();
        loop {
            let message = match self.timers.peek() {
                Some(Reverse((at, _))) => mailbox.recv_deadline(self.clock.instant(*at)),
                None => mailbox.recv().map_err(|_| RecvTimeoutError::Disconnected),
            };
            match message {
                Ok(m) => self.take(m),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            while let Some(m) = self.deferred.pop_front() {
                self.take(m);
            }
            // Messages never keep a timer waiting for more than one of them.
            while let Some(Reverse((at, _))) = self.timers.peek()
                && *at <= self.clock.now()
                && let Some(Reverse((_, due))) = self.timers.pop()
            {
                match due {
                    Due::Wake => self.feed(Event::Timer),
                    Due::Figures => self.count_members(),
                    Due::Places => self.tell_places(placement::Event::Timer),
                    Due::Probe(instance) => self.begin_probe(instance),
                    Due::Turn(instance) => self.ask(instance),
                    Due::Attempt(id, attempt) => {
                        if let Some((key, member)) = self.abandon(id, attempt) {
                            self.ended(key, member, Reply::bare(Outcome::TimedOut));
                        }
                    }
                }
                while let Some(m) = self.deferred.pop_front() {
                    self.take(m);
                }
            }
        }
    }

    fn take(&mut self, message: Message<W>) {
        match message {
            Message::Arrived(id, incoming) => self.arrived(id, incoming),
            Message::Left(id) => {
                if let Some(k) = self.requests.get_mut(&id)
                    && k.answer.take().is_some()
                {
                    self.figures.iter().for_each(|f| f.current.dec());
                    self.close(id);
                }
            }
            Message::Cancelled(id) => {
                let now = self.clock.now();
                if let Some(k) = self.requests.get_mut(&id).filter(|k| k.answer.is_some()) {
                    k.claim(Final::Cancelled, now, self.figures.as_deref());
                    self.close(id);
                }
            }
            Message::Ended { key, member, reply } => self.ended(key, member, reply),
            Message::Probed { member, outcome, report } => {
                self.note(member, outcome);
                self.probes.ended(member, report);
                self.probed(member, outcome, report);
            }
            Message::Crowded { keep } => {
                self.members.values().for_each(|m| _ = m.tell(PeerMessage::Trim { keep }));
            }
            Message::List(news) => self.list(news),
            Message::Shut(groups) => self.shut = groups,
            Message::Sharing(processes) => self.share(processes),
            Message::Places(news) => self.tell_places(placement::Event::News(news)),
            Message::Drivers(routers) => {
                self.drivers = routers;
                self.cut();
            }
        }
    }

    fn count_members(&mut self) {
        if let Some(f) = &self.figures {
            let now = self.clock.now();
            let avoided = self.router.avoided();
            let avoided = self.views.as_ref().map_or(avoided, |v| v.unhealthy(avoided));
            f.cluster_unhealthy.set(avoided as i64);
            self.timers.push(Reverse((Time(now.0 + FIGURES_EVERY), Due::Figures)));
        }
    }

    /// The processes of this router share its room at instances, its probes and its descriptors.
    fn share(&mut self, processes: u32) {
        let all = self.limits.link_connections;
        let aside = all - all / processes.max(1) as usize;
        self.links.fetch_add(aside, Ordering::Relaxed);
        self.links.fetch_sub(std::mem::replace(&mut self.set_aside, aside), Ordering::Relaxed);
        self.probes.sharing(processes);
        self.processes = processes;
        self.cut();
    }

    /// Each process of each router takes its part of the room.
    fn cut(&mut self) {
        self.feed(Event::Drivers(self.drivers.max(1).saturating_mul(self.processes.max(1))));
    }

    fn note(&self, member: MemberId, outcome: Outcome) {
        if let Some(a) = self.answered.as_ref().filter(|_| outcome == Outcome::Ok)
            && let Some(m) = self.members.get(&member)
        {
            a.note(&m.name);
        }
    }

    fn arrived(&mut self, id: RequestId, incoming: Incoming<W>) {
        let placed = self.place(&incoming, id);
        let Incoming { class, session, group, deadline, token, payload, answer, .. } = incoming;
        let shut = self.shut.contains(&group);
        let write = self.writes.get(class).copied().unwrap_or(true);
        let (payload, answer) = (Arc::new(payload), Some(answer));
        let (out, last) = (Vec::new(), None);
        let mut known = Known { payload, class, deadline, write, answer, sent: 0, out, last, placed: None };
        self.figures.iter().for_each(|f| f.current.inc());
        let group = match placed {
            Ok(placed) => {
                known.placed = placed;
                known.placed.as_ref().map_or(group, |p| p.asked())
            }
            Err(why) => return known.claim(Final::NoPlace(why), self.clock.now(), self.figures.as_deref()),
        };
        self.requests.insert(id, known);
        if shut {
            let come_back = self.come_back.get(class).copied().flatten();
            return self.answer(id, Final::Refused(come_back));
        }
        self.feed(Event::Request(Request { id, class, tenant: 0, session, group, deadline, token }));
    }

    fn list(&mut self, mut news: ListNews) {
        if self.views.is_some() {
            news.entries.retain(|e| {
                let known = e.group.0 < placement::FIRST_VIEW;
                if !known {
                    tracing::error!("list: {}: the group {} is out of range", e.id, e.group.0);
                }
                known
            });
        }
        let named: HashSet<&str> = news.entries.iter().map(|e| e.id.as_str()).collect();
        for m in self.members.values().filter(|m| news.complete && !named.contains(m.name.as_str())) {
            m.in_service(false);
        }
        let entries = news.entries.iter().map(|e| {
            let known = self.ids.get(&e.id).copied();
            // An instance that is listed elsewhere now gets a peer of its own; the old one ends its work.
            let moved = known.is_some_and(|id| self.members.get(&id).is_some_and(|m| m.addr != e.addr));
            if moved && let Some(old) = known.and_then(|id| self.members.remove(&id)) {
                old.forget();
                known.into_iter().for_each(|id| self.probes.forget(id));
            }
            let id = known.unwrap_or_else(|| {
                self.next_member += 1;
                MemberId(self.next_member)
            });
            if e.state != MemberState::Gone {
                let service = Service::default();
                let peer = || Peer { name: e.id.clone(), addr: e.addr, service, peer: None };
                self.members.entry(id).or_insert_with(peer);
            }
            if known.is_none() {
                tracing::debug!("member {} is {}", id.0, e.id);
            }
            self.ids.insert(e.id.clone(), id);
            if let Some(m) = self.members.get(&id) {
                m.in_service(e.state == MemberState::Ready);
            }
            MemberEntry {
                id,
                group: e.group,
                zone: e.zone,
                state: e.state,
                listed_primary: e.primary,
                weight: e.weight,
                started: e.started,
            }
        });
        let mut entries: Vec<MemberEntry> = entries.collect();
        let mut change = Change::default();
        if let Some(views) = &mut self.views {
            change = views.list(self.clock.now(), &news, &entries, &mut self.next_member);
            entries.extend(std::mem::take(&mut change.entries).into_values());
            self.withdraw(&change.left);
            change.left.clear();
        }
        self.feed(Event::Members { complete: news.complete, entries });
        self.follow(change);
    }

    /// An attempt has ended at its member. After its time-out nobody waits for it any more.
    fn ended(&mut self, (id, attempt): Key, member: MemberId, reply: Reply<W::Answer>) {
        self.note(member, reply.outcome);
        let Some(k) = self.requests.get_mut(&id) else { return };
        let Some(at) = k.out.iter().position(|o| o.number == attempt) else { return };
        // It was sent to this number of the instance.
        let Out { member, .. } = k.out.swap_remove(at);
        if !matches!(reply.outcome, Outcome::Ok | Outcome::Cancelled | Outcome::Moot) {
            self.probes.wrong(self.views.as_ref().map_or(member, |v| v.instance(member)));
        }
        let Reply { outcome, answer, mut note, commit, report, .. } = reply;
        let now = self.clock.now();
        k.last = Some(outcome);
        k.placed.iter_mut().for_each(|p| p.ended(outcome));
        let commit = if k.write && outcome == Outcome::Ok { commit.or(note.position.take()) } else { None };
        if let Some(answer) = answer {
            k.claim(Final::Served(answer, commit), now, self.figures.as_deref());
        }
        let ended = k.answer.is_none();
        if self.views.is_some() {
            self.learned(member, outcome, &note, true);
        }
        self.feed(Event::Outcome { request: id, attempt, member, outcome, ended, note, commit, report });
        self.attempt_ended(id);
        self.drop_if_done(id);
    }

    /// Stops waiting for an attempt that is out; its link is closed.
    fn abandon(&self, id: RequestId, attempt: u32) -> Option<(Key, MemberId)> {
        let known = self.requests.get(&id)?;
        let out = known.out.iter().find(|o| o.number == attempt)?;
        out.stop.stop();
        Some(((id, attempt), out.member))
    }

    /// Nobody waits for a request any more: nothing further goes out for it, nor what still waits for a connection.
    fn close(&mut self, id: RequestId) {
        self.withdraw_of(id);
        self.feed(Event::ClientLeft { request: id });
        self.drop_if_done(id);
    }

    fn drop_if_done(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|k| k.answer.is_none() && k.out.is_empty()) {
            self.requests.remove(&id);
        }
    }

    fn feed(&mut self, event: Event) {
        let mut actions = Vec::new();
        let now = self.clock.now();
        if self.views.as_ref().is_some_and(|v| v.is_due(now)) {
            // The decisions must not act on a view that has run out.
            self.tell_places(placement::Event::Timer);
            if matches!(&event, Event::Request(r) if !self.requests.contains_key(&r.id)) {
                // Its place has run out on the way here, and it was refused.
                return;
            }
        }
        // What a fleet does is counted from these two lines of each router: docs/operate-fleet.md.
        tracing::debug!(at = now.0, "event {event:?}");
        self.router.handle(now, event, &mut actions);
        for a in actions {
            tracing::debug!(at = now.0, "action {a:?}");
            self.act(now, a);
        }
    }

    fn act(&mut self, now: Time, action: Action) {
        match action {
            Action::Send { request, member, timeout, within } => {
                self.send(request, member, Time(now.0 + timeout), Time(now.0 + within));
            }
            Action::Cancel { request, attempt } => {
                if let Some((key, member)) = self.abandon(request, attempt) {
                    self.later(Message::Ended { key, member, reply: Reply::bare(Outcome::Cancelled) });
                }
            }
            Action::Refuse { request, come_back } => {
                let come_back = come_back.map(|m| Duration::from_micros(m.max(0) as u64));
                self.answer(request, Final::Refused(come_back));
            }
            Action::Fail { request } => {
                let last = self.requests.get(&request).and_then(|k| k.last);
                self.answer(request, Final::Failed(last));
            }
            Action::Probe { member } => self.probe(member),
            Action::Timer { after } => {
                self.timers.push(Reverse((Time(self.clock.now().0 + after), Due::Wake)));
            }
            // The list's watch always runs.
            Action::Subscribe => {}
            Action::Forget { member } => {
                let member = match &mut self.views {
                    Some(views) => views.forget(member),
                    None => Some(member),
                };
                let Some(member) = member else { return };
                self.probes.forget(member);
                if let Some(m) = self.members.remove(&member) {
                    m.forget();
                    self.ids.remove(&m.name);
                } else {
                    self.ids.retain(|_, id| *id != member);
                }
            }
        }
    }

    /// An instance is asked how it is, as soon as it is this process's turn.
    fn begin_probe(&mut self, instance: MemberId) {
        match self.probes.wanted(instance, self.clock.now()) {
            Turn::Now => self.ask(instance),
            Turn::At(at) => self.timers.push(Reverse((at, Due::Turn(instance)))),
            Turn::Said(report) => {
                self.later(Message::Probed { member: instance, outcome: Outcome::Ok, report });
            }
        }
    }

    fn ask(&mut self, member: MemberId) {
        if !self.hand(member, PeerMessage::Probe) {
            let (outcome, report) = (Outcome::Moot, Report::default());
            self.later(Message::Probed { member, outcome, report });
        }
    }

    /// Hands work to an instance's peer, which begins with the first; `false` where it can't be.
    fn hand(&mut self, member: MemberId, work: PeerMessage<W>) -> bool {
        let Some(m) = self.members.get_mut(&member) else { return false };
        if m.peer.is_none() {
            if self.peers.is_none() {
                let (wire, limits, links) = (self.wire.clone(), self.limits.clone(), self.links.clone());
                match peer::start(wire, limits, self.own.clone(), links) {
                    Ok(peers) => self.peers = Some(peers),
                    Err(e) => tracing::error!("list: no thread for the instances: {e}"),
                }
            }
            let Some(peers) = self.peers.clone() else { return false };
            self.next_peer += 1;
            m.peer = Some((self.next_peer, peers));
            if !m.tell(PeerMessage::Start { member, addr: m.addr, service: m.service.clone() }) {
                m.peer = None;
                return false;
            }
        }
        m.tell(work)
    }

    /// Begins an attempt, by `latest` or not at all, and gives it up `at` its time.
    fn send(&mut self, request: RequestId, member: MemberId, at: Time, latest: Time) {
        let instance = self.instance(member);
        let service = self.members.get(&instance).map(|m| m.service.clone()).unwrap_or_default();
        let Some(k) = self.requests.get_mut(&request) else { return };
        let key = (request, k.sent);
        k.sent += 1;
        let until = self.clock.instant(at);
        let sends = self.figures.as_ref().and_then(|f| f.classes.get(k.class)).map(|c| c.sends.clone());
        let stop = Stop::attempt(service, self.clock.instant(latest), sends);
        k.out.push(Out { number: key.1, member, stop: stop.clone() });
        let attempt = PeerMessage::Attempt(key, k.payload.clone(), until, stop);
        if self.hand(instance, attempt) {
            self.timers.push(Reverse((at, Due::Attempt(request, key.1))));
        } else {
            self.later(Message::Ended { key, member, reply: Reply::bare(Outcome::Moot) });
        }
    }

    fn answer(&mut self, id: RequestId, answer: Final<W::Answer>) {
        let now = self.clock.now();
        if let Some(k) = self.requests.get_mut(&id) {
            k.claim(answer, now, self.figures.as_deref());
            self.drop_if_done(id);
        }
    }

    /// Takes a message after what is under way: the router is not entered from within its own actions.
    fn later(&mut self, message: Message<W>) {
        self.deferred.push_back(message);
    }
}
