//! Plays a plan: one queue of events in simulated time, in which routers' state machines meet nodes and clients.
use crate::check::Checker;
use crate::node::{Job, Node};
use crate::plan::{Kind, Plan, Plant, Trouble};
use crate::result::{Counts, Results, Times};
use decision::{
    Action, Event, Freshness, GroupId, MemberEntry, MemberId, MemberState, Outcome, Report, Request,
    RequestId, Router, Time,
};
use fastrand::Rng;
use registry::fleet::{
    Action as FleetAction, Event as FleetEvent, Fleet, Level, Settings as FleetSettings, State,
};
use registry::machine::{
    Action as NewsAction, Change, Event as NewsEvent, Item, Machine as Follower, Settings as FollowerSettings,
};
use sessions::Key;
use sessions::machine::{
    Action as SessionAction, Event as SessionEvent, Instance, Machine as Sessions, Now, Push,
    Settings as SessionSettings,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};

/// How long a connection that nobody answers is waited for.
const CONNECT: i64 = 250_000;
/// A router's sessions and list are looked at this often.
const TICK: i64 = 30_000;
/// A sync of a journal takes this long.
const SYNC: i64 = 300;
const LEASE: i64 = 300_000;

/// A client's request, whatever becomes of it at routers.
struct Client {
    class: usize,
    group: usize,
    session: u64,
    first: Time,
    deadline: Time,
    tries: u32,
}

struct Attempt {
    node: usize,
    sent: Time,
    out: bool,
}

/// A request at a router.
struct Open {
    client: u64,
    asked: Time,
    owed: Option<Time>,
    attempts: Vec<Attempt>,
    answered: bool,
}

struct RouterSim {
    hall: usize,
    up: bool,
    epoch: u32,
    decision: Router,
    sessions: Sessions,
    disk: Vec<(Key, Time)>,
    /// Writes that wait for their release: the client, its session, the commit.
    tickets: HashMap<u64, (u64, u64, Time)>,
    next: u64,
    open: HashMap<u64, Open>,
    /// When each idle connection to a node was last used.
    idle: HashMap<usize, Vec<Time>>,
    follower: Follower,
    fleet: Fleet,
}

enum Peer {
    Hello(u64),
    Welcome(u64, u64),
    Push(Push),
    Confirm(u64),
    Ask(i64),
}

enum Ev {
    Arrive,
    Ask(u64),
    AtNode { job: Job, node: usize, node_epoch: u32, fresh: bool },
    Done { node: usize, epoch: u32, job: Job },
    Back { job: Job, node: usize, outcome: Outcome, commit: Option<Time>, from: Time, link: bool },
    TimeOut(Job),
    Cancelled(Job),
    Probe { router: usize, epoch: u32, node: usize },
    Probed { router: usize, epoch: u32, node: usize, outcome: Outcome, report: Report },
    Wake(usize, u32),
    Tick(usize, u32),
    Synced(usize, u32, u64, Key, Time),
    Peer { from: usize, to: usize, epochs: (u32, u32), message: Peer },
    Ship(usize, Time),
    News(usize, Vec<Change>),
    Promote(usize),
    Begin(usize),
    End(usize),
    Restart(usize, u32),
    RouterUp(usize),
}

struct World<'p> {
    plan: &'p Plan,
    rng: Rng,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64)>>,
    held: HashMap<u64, Ev>,
    order: u64,
    nodes: Vec<Node>,
    routers: Vec<RouterSim>,
    clients: HashMap<u64, Client>,
    next_client: u64,
    linked: BTreeSet<(usize, usize)>,
    cut: Option<usize>,
    surge: f64,
    outage: bool,
    waiting_news: Vec<(usize, Vec<Change>)>,
    revision: u64,
    /// What each trouble has met, to be put right at its end.
    met: HashMap<usize, Vec<usize>>,
    check: Checker,
    classes: Vec<(Counts, Times)>,
    seconds: Vec<Counts>,
    played: u64,
    shares: f64,
}

/// Plays a plan to its end.
pub fn play(plan: &Plan) -> Results {
    let mut world = World::new(plan);
    world.run();
    world.results()
}

fn us(ms: f64) -> i64 {
    (ms * 1000.0) as i64
}

fn item(node: usize, state: &str, created: u64, modified: u64, group: usize, hall: usize) -> Item {
    let ip = format!("127.{}.{}.{}", 1 + node / 62_500, node / 250 % 250, node % 250 + 1);
    let value =
        format!("{{\"addr\":\"{ip}:3306\",\"group\":{group},\"state\":\"{state}\",\"zone\":\"{hall}\"}}");
    Item { key: format!("n{node}"), value: value.into_bytes(), created, modified }
}

impl<'p> World<'p> {
    fn new(plan: &'p Plan) -> World<'p> {
        let mut nodes = Vec::new();
        for group in 0..plan.groups {
            for n in 0..=plan.replicas {
                nodes.push(Node::new(group, (group + n) % plan.halls, n == 0));
            }
        }
        let mut world = World {
            plan,
            rng: Rng::with_seed(plan.seed),
            now: Time(1_000_000),
            events: BinaryHeap::new(),
            held: HashMap::new(),
            order: 0,
            nodes,
            routers: Vec::new(),
            clients: HashMap::new(),
            next_client: 0,
            linked: BTreeSet::new(),
            cut: None,
            surge: 1.0,
            outage: false,
            waiting_news: Vec::new(),
            revision: 1,
            met: HashMap::new(),
            check: Checker::default(),
            classes: plan.class.iter().map(|_| Default::default()).collect(),
            seconds: vec![Counts::default(); plan.seconds.ceil() as usize],
            played: 0,
            shares: plan.class.iter().map(|c| c.share).sum(),
        };
        for r in 0..plan.routers {
            let hall = r % plan.halls;
            let sim = world.router(r, hall, 0, Vec::new());
            world.routers.push(sim);
        }
        (0..plan.routers).for_each(|r| world.begin_router(r));
        world.at(Time(1_000_001), Ev::Arrive);
        for (n, t) in plan.trouble.iter().enumerate() {
            world.at(Time(1_000_000 + us(t.at_s * 1000.0)), Ev::Begin(n));
        }
        world
    }

    fn router(&mut self, r: usize, hall: usize, epoch: u32, disk: Vec<(Key, Time)>) -> RouterSim {
        let settings = SessionSettings {
            instance: r as Instance,
            incarnation: u64::from(epoch) + 1,
            lease: LEASE,
            resume: 4096,
            sessions: 100_000,
            durable: true,
            incomplete: false,
        };
        let sessions = Sessions::new(settings, disk.iter().copied(), None);
        let fleet = FleetSettings {
            allow: vec![],
            deny: vec![],
            fresh: 10_000_000,
            last: None,
            held_share: 0.5,
            window: 10_000_000,
            held: 60_000_000,
        };
        RouterSim {
            hall,
            up: true,
            epoch,
            decision: Router::new(self.plan.settings(hall), self.rng.u64(..)),
            sessions,
            disk,
            tickets: HashMap::new(),
            next: 0,
            open: HashMap::new(),
            idle: HashMap::new(),
            follower: Follower::new(FollowerSettings { restored_after: 10_000_000, tombstones: 1000 }),
            fleet: Fleet::new(fleet),
        }
    }

    /// A router reads the registry, learns its peers, and begins.
    fn begin_router(&mut self, r: usize) {
        let mut items: Vec<Item> = self
            .nodes
            .iter()
            .enumerate()
            .map(|(n, node)| item(n, "in_service", 1, 1, node.group, node.hall))
            .collect();
        // Drained nodes stand in the registry as what they are.
        let drained: Vec<usize> = self
            .met
            .iter()
            .filter(|(t, _)| self.plan.trouble[**t].kind == Kind::Drain)
            .flat_map(|(_, nodes)| nodes.clone())
            .collect();
        for n in drained {
            items[n] = item(n, "draining", 1, self.revision, self.nodes[n].group, self.nodes[n].hall);
        }
        let revision = self.revision;
        self.news(r, NewsEvent::Snapshot { endpoint: 0, cluster: 1, revision, items });
        let cluster = self.plan.cluster.max(1);
        let first = r / cluster * cluster;
        let peers = (first..(first + cluster).min(self.plan.routers)).map(|p| p as Instance).collect();
        self.session(r, SessionEvent::Peers(peers));
        let epoch = self.routers[r].epoch;
        let spread = self.rng.i64(0..TICK);
        self.at(Time(self.now.0 + spread), Ev::Tick(r, epoch));
    }

    fn at(&mut self, at: Time, event: Ev) {
        self.order += 1;
        self.events.push(Reverse((at, self.order)));
        self.held.insert(self.order, event);
    }

    fn after(&mut self, us: i64, event: Ev) {
        self.at(Time(self.now.0 + us.max(0)), event);
    }

    fn end(&self) -> Time {
        Time(1_000_000 + us(self.plan.seconds * 1000.0))
    }

    fn run(&mut self) {
        let longest = self.plan.class.iter().map(|c| us(c.deadline_ms)).max().unwrap_or(0);
        let over = Time(self.end().0 + longest + 200_000);
        while let Some(Reverse((at, order))) = self.events.pop() {
            if at > over {
                break;
            }
            self.now = at;
            self.played += 1;
            let Some(event) = self.held.remove(&order) else { continue };
            self.take(event);
        }
        self.now = over;
        self.check.ended(over);
    }

    fn take(&mut self, event: Ev) {
        match event {
            Ev::Arrive => self.arrive(),
            Ev::Ask(client) => self.ask(client),
            Ev::AtNode { job, node, node_epoch, fresh } => self.at_node(job, node, node_epoch, fresh),
            Ev::Done { node, epoch, job } => self.done(node, epoch, job),
            Ev::Back { job, node, outcome, commit, from, link } => {
                self.back(job, node, outcome, commit, from, link)
            }
            Ev::TimeOut(job) => self.outcome(job, Outcome::TimedOut, None, None),
            Ev::Cancelled(job) => self.outcome(job, Outcome::Cancelled, None, None),
            Ev::Probe { router, epoch, node } => self.probe_at(router, epoch, node),
            Ev::Probed { router, epoch, node, outcome, report } => {
                if self.lives(router, epoch) {
                    if outcome == Outcome::Ok {
                        self.heard_of(router, node);
                    }
                    self.feed(router, Event::Probed { member: MemberId(node as u32), outcome, report });
                }
            }
            Ev::Wake(r, epoch) if self.lives(r, epoch) => self.feed(r, Event::Timer),
            Ev::Tick(r, epoch) if self.lives(r, epoch) => self.tick(r, epoch),
            Ev::Synced(r, epoch, seq, key, at) if self.lives(r, epoch) => {
                self.routers[r].disk.push((key, at));
                self.session(r, SessionEvent::Synced(seq));
            }
            Ev::Wake(..) | Ev::Tick(..) | Ev::Synced(..) => {}
            Ev::Peer { from, to, epochs, message } => self.peer(from, to, epochs, message),
            Ev::Ship(n, commit) => {
                let apply = self.plan.apply_us as i64;
                let now = self.now;
                if !self.nodes[n].primary {
                    self.nodes[n].ship(now, commit, apply);
                }
            }
            Ev::News(r, changes) => {
                if self.outage {
                    self.waiting_news.push((r, changes));
                } else if self.routers[r].up {
                    self.news(r, NewsEvent::Changes(0, changes));
                }
            }
            Ev::Promote(group) => self.promote(group),
            Ev::Begin(n) => self.begin(n),
            Ev::End(n) => self.put_right(n),
            Ev::Restart(n, epoch) => {
                if !self.nodes[n].up && self.nodes[n].epoch == epoch {
                    let (now, ship) = (self.now, us(self.plan.ship_ms));
                    // It catches up from the log before it serves.
                    self.nodes[n].applying.clear();
                    self.nodes[n].applied = Time(now.0 - ship);
                    self.nodes[n].start(now);
                }
            }
            Ev::RouterUp(r) => {
                let (hall, epoch, disk) =
                    (self.routers[r].hall, self.routers[r].epoch, std::mem::take(&mut self.routers[r].disk));
                self.routers[r] = self.router(r, hall, epoch, disk);
                self.begin_router(r);
            }
        }
    }

    fn lives(&self, r: usize, epoch: u32) -> bool {
        self.routers[r].up && self.routers[r].epoch == epoch
    }

    fn apart(&self, a: usize, b: usize) -> bool {
        self.cut.is_some_and(|hall| a != b && (a == hall || b == hall))
    }

    fn way(&mut self, a: usize, b: usize) -> i64 {
        let ms = if a == b { self.plan.near_ms } else { self.plan.far_ms };
        (ms * 1000.0 * (0.9 + 0.2 * self.rng.f64())) as i64
    }

    // ---- clients ----

    fn arrive(&mut self) {
        if self.now >= self.end() {
            return;
        }
        let gap = -(1.0 - self.rng.f64()).ln() / (self.plan.rate * self.surge) * 1e6;
        self.after(gap as i64 + 1, Ev::Arrive);
        let mut pick = self.rng.f64() * self.shares;
        let mut class = 0;
        for (n, c) in self.plan.class.iter().enumerate() {
            class = n;
            pick -= c.share;
            if pick < 0.0 {
                break;
            }
        }
        let session = self.rng.u64(0..self.plan.sessions);
        let group = (session % self.plan.groups as u64) as usize;
        let deadline = Time(self.now.0 + us(self.plan.class[class].deadline_ms));
        self.next_client += 1;
        let client = Client { class, group, session, first: self.now, deadline, tries: 0 };
        self.clients.insert(self.next_client, client);
        self.count(self.next_client, |c| c.offered += 1);
        self.ask(self.next_client);
    }

    /// Counts for a client's class and second, once the warm-up is over.
    fn count(&mut self, client: u64, how: impl Fn(&mut Counts)) {
        let Some(c) = self.clients.get(&client) else { return };
        let since = c.first.0 - 1_000_000;
        if since < us(self.plan.warmup_s * 1000.0) {
            return;
        }
        how(&mut self.classes[c.class].0);
        if let Some(s) = self.seconds.get_mut((since / 1_000_000) as usize) {
            how(s);
        }
    }

    fn ask(&mut self, id: u64) {
        let Some(c) = self.clients.get(&id) else { return };
        let (class, group, session, deadline) = (c.class, c.group, c.session, c.deadline);
        // Sessions wander: each request goes to any router of the cluster that its session is at home in.
        let cluster = self.plan.cluster.max(1).min(self.plan.routers);
        let clusters = self.plan.routers.div_ceil(cluster) as u64;
        let first = (session / self.plan.groups as u64 % clusters) as usize * cluster;
        let r = first + self.rng.usize(0..cluster.min(self.plan.routers - first));
        if !self.routers[r].up {
            return self.again(id, true, None);
        }
        let freshness = self.plan.class[class].freshness().unwrap_or(Freshness::Fresh);
        let key = Key(session);
        let now = self.session_now();
        let sim = &mut self.routers[r];
        let reads = freshness == Freshness::Session && self.plan.plant != Some(Plant::ForgetSessions);
        let token = reads.then(|| sim.sessions.need(key, now)).flatten();
        let owed = self.check.owed(session);
        sim.next += 1;
        let request = sim.next;
        let open = Open { client: id, asked: self.now, owed, attempts: Vec::new(), answered: false };
        sim.open.insert(request, open);
        self.check.taken(r, request, deadline, !self.plan.class[class].safe);
        self.feed(
            r,
            Event::Request(Request {
                id: RequestId(request),
                class,
                tenant: 0,
                session: None,
                group: GroupId(group as u32),
                deadline,
                token,
            }),
        );
    }

    /// A client was refused, or found no router: it asks again while it has time and patience.
    fn again(&mut self, id: u64, harmless: bool, after: Option<i64>) {
        let Some(c) = self.clients.get_mut(&id) else { return };
        let pause = after.unwrap_or(us(self.plan.client_pause_ms) << c.tries.min(6));
        c.tries += 1;
        let (tries, at, deadline) =
            (c.tries, Time(self.now.0 + pause + self.rng.i64(0..=pause / 4 + 1)), c.deadline);
        if harmless && tries <= self.plan.client_tries && at < deadline {
            self.count(id, |c| c.retries += 1);
            return self.at(at, Ev::Ask(id));
        }
        self.count(id, |c| c.refused += 1);
        self.clients.remove(&id);
    }

    fn served(&mut self, id: u64) {
        let Some(c) = self.clients.get(&id) else { return };
        let (took, class, first) = (self.now.0 - c.first.0, c.class, c.first);
        let aim = us(self.plan.class[class].aim_ms);
        if first.0 - 1_000_000 >= us(self.plan.warmup_s * 1000.0) {
            self.classes[class].1.record(took);
        }
        self.count(id, |c| if took <= aim { c.in_time += 1 } else { c.late += 1 });
        self.clients.remove(&id);
    }

    // ---- routers ----

    fn feed(&mut self, r: usize, event: Event) {
        let mut actions = Vec::new();
        self.routers[r].decision.handle(self.now, event, &mut actions);
        for action in actions {
            self.act(r, action);
        }
    }

    fn act(&mut self, r: usize, action: Action) {
        let epoch = self.routers[r].epoch;
        match action {
            Action::Send { request, member, timeout } => self.send(r, request.0, member.0 as usize, timeout),
            Action::Cancel { request, attempt } => {
                let job = Job { router: r, epoch, request: request.0, attempt, class: 0, client: 0 };
                self.after(0, Ev::Cancelled(job));
            }
            Action::Refuse { request, come_back } => self.finish(r, request.0, true, come_back),
            Action::Fail { request } => self.finish(r, request.0, false, None),
            Action::Probe { member } => {
                let node = member.0 as usize;
                let client = self.seconds_now();
                if let Some(s) = client {
                    self.seconds[s].probes += 1;
                }
                let way = self.way(self.routers[r].hall, self.nodes[node].hall);
                self.after(way, Ev::Probe { router: r, epoch, node });
            }
            Action::Timer { after } => self.after(after, Ev::Wake(r, epoch)),
            Action::Subscribe | Action::Forget { .. } => {}
        }
    }

    fn seconds_now(&self) -> Option<usize> {
        let second = ((self.now.0 - 1_000_000) / 1_000_000) as usize;
        (second < self.seconds.len() && second as f64 >= self.plan.warmup_s).then_some(second)
    }

    fn send(&mut self, r: usize, request: u64, node: usize, timeout: i64) {
        self.check.sent(self.now, r, request, node);
        let (now, idle_for) = (self.now, us(self.plan.link_idle_ms));
        let sim = &mut self.routers[r];
        let (hall, epoch) = (sim.hall, sim.epoch);
        let Some(open) = sim.open.get_mut(&request) else { return };
        let (client, attempt) = (open.client, open.attempts.len() as u32);
        open.attempts.push(Attempt { node, sent: now, out: true });
        let idle = sim.idle.entry(node).or_default();
        let before = idle.len();
        idle.retain(|t| now.0 - t.0 < idle_for);
        let (expired, warm) = (before - idle.len(), idle.pop().is_some());
        let n = &mut self.nodes[node];
        n.connections = n.connections.saturating_sub(expired);
        let (there, primary, node_epoch) = (n.hall, n.primary, n.epoch);
        let class = self.clients.get(&client).map_or(0, |c| c.class);
        let crosses = hall != there;
        self.count(client, |c| {
            c.attempts += 1;
            c.at_primary += u64::from(primary);
            c.crossings += u64::from(crosses);
            c.handshakes += u64::from(!warm);
        });
        let job = Job { router: r, epoch, request, attempt, class, client };
        self.after(timeout, Ev::TimeOut(job));
        let way = self.way(hall, there);
        if self.apart(hall, there) {
            // On a connection that stood it is silent; a new one never comes up.
            if !warm {
                let (outcome, from) = (Outcome::ConnectFailed, Time(0));
                self.after(CONNECT, Ev::Back { job, node, outcome, commit: None, from, link: false });
            }
            return;
        }
        let shake = if warm { 0 } else { 2 * way + us(self.plan.handshake_ms) };
        self.after(way + shake, Ev::AtNode { job, node, node_epoch, fresh: !warm });
    }

    /// A router's final answer that is no server's.
    fn finish(&mut self, r: usize, request: u64, refused: bool, come_back: Option<i64>) {
        let Some(open) = self.routers[r].open.get_mut(&request) else { return };
        if std::mem::replace(&mut open.answered, true) {
            return;
        }
        let client = open.client;
        self.check.answered(self.now, r, request, refused);
        self.drop_if_done(r, request);
        if refused {
            self.again(client, true, come_back);
        } else {
            self.count(client, |c| c.failed += 1);
            self.clients.remove(&client);
        }
    }

    fn drop_if_done(&mut self, r: usize, request: u64) {
        let open = &mut self.routers[r].open;
        if open.get(&request).is_some_and(|o| o.answered && o.attempts.iter().all(|a| !a.out)) {
            open.remove(&request);
        }
    }

    /// An attempt's answer, or its connection's end, has come back.
    fn back(
        &mut self,
        job: Job,
        node: usize,
        outcome: Outcome,
        commit: Option<Time>,
        from: Time,
        link: bool,
    ) {
        if !self.lives(job.router, job.epoch) {
            let n = &mut self.nodes[node];
            n.connections = n.connections.saturating_sub(usize::from(link));
            return;
        }
        let now = self.now;
        let known = self.routers[job.router].open.get(&job.request);
        let waits = known.and_then(|o| o.attempts.get(job.attempt as usize)).is_some_and(|a| a.out);
        if link && waits {
            self.routers[job.router].idle.entry(node).or_default().push(now);
        } else if link {
            // It was given up: its connection is closed.
            let n = &mut self.nodes[node];
            n.connections = n.connections.saturating_sub(1);
        }
        if waits {
            if outcome == Outcome::Ok {
                self.heard_of(job.router, node);
            }
            self.outcome(job, outcome, commit, Some(from));
        }
    }

    /// An attempt has ended as a router sees it.
    fn outcome(&mut self, job: Job, outcome: Outcome, commit: Option<Time>, from: Option<Time>) {
        let Job { router: r, request, attempt, .. } = job;
        if !self.lives(r, job.epoch) {
            return;
        }
        let Some(open) = self.routers[r].open.get_mut(&request) else { return };
        let Some(a) = open.attempts.get_mut(attempt as usize).filter(|a| a.out) else { return };
        a.out = false;
        let (node, sent) = (a.node, a.sent);
        if outcome.never_ran() {
            self.check.never_ran(r, request);
        }
        let (client, asked, owed) = (open.client, open.asked, open.owed);
        let mut ended = open.answered;
        if outcome == Outcome::Ok && !ended {
            open.answered = true;
            ended = true;
            let class = self.clients.get(&client).map_or(0, |c| c.class);
            let freshness = self.plan.class[class].freshness().unwrap_or(Freshness::Fresh);
            if let Some(at) = commit {
                let session = self.clients.get(&client).map_or(0, |c| c.session);
                self.routers[r].tickets.insert(request, (client, session, at));
                // The client hears of it once its session can rely on it.
                self.session(r, SessionEvent::Commit(request, Key(session), at));
            } else {
                let data = from.unwrap_or(self.now);
                self.check.read(self.now, freshness, asked, sent, owed, data);
                self.check.answered(self.now, r, request, false);
                self.served(client);
            }
        }
        let member = MemberId(node as u32);
        let (note, report) = (Report::default(), Report::default());
        self.feed(
            r,
            Event::Outcome {
                request: RequestId(request),
                attempt,
                member,
                outcome,
                ended,
                note,
                commit,
                report,
            },
        );
        self.drop_if_done(r, request);
    }

    fn heard_of(&mut self, r: usize, node: usize) {
        if self.routers[r].fleet.level() != Level::Fresh {
            self.fleet(r, FleetEvent::Answered(format!("n{node}")));
        }
    }

    fn probe_at(&mut self, r: usize, epoch: u32, node: usize) {
        let hall = self.routers[r].hall;
        let there = self.nodes[node].hall;
        let (now, ship) = (self.now, us(self.plan.ship_ms));
        let (apart, way) = (self.apart(hall, there), self.way(hall, there));
        let n = &mut self.nodes[node];
        let (outcome, report, after) = if apart || n.hung {
            (Outcome::TimedOut, Report::default(), CONNECT)
        } else if !n.up {
            (Outcome::ConnectFailed, Report::default(), way)
        } else {
            let report = Report { primary: Some(n.primary), position: Some(n.position(now, ship)) };
            (Outcome::Ok, report, way)
        };
        self.after(after, Ev::Probed { router: r, epoch, node, outcome, report });
    }

    fn tick(&mut self, r: usize, epoch: u32) {
        if !self.outage {
            self.fleet(r, FleetEvent::Heard);
        }
        self.fleet(r, FleetEvent::Tick);
        self.session(r, SessionEvent::Tick);
        let cluster = self.plan.cluster.max(1);
        let first = r / cluster * cluster;
        for p in (first..(first + cluster).min(self.plan.routers)).filter(|p| *p != r) {
            if self.linked.contains(&(r, p)) || self.apart(self.routers[r].hall, self.routers[p].hall) {
                continue;
            }
            if self.routers[p].up {
                self.linked.insert((r, p));
                let incarnation = self.routers[r].sessions.incarnation();
                self.tell(r, p, Peer::Hello(incarnation));
            } else {
                let begun = self.now;
                self.session(r, SessionEvent::Down(p as Instance, begun));
            }
        }
        self.after(TICK, Ev::Tick(r, epoch));
    }

    // ---- sessions ----

    fn session_now(&self) -> Now {
        // The servers' clock is the one clock here, known a little late.
        Now { at: self.now, present: Some(Time(self.now.0 + 500)) }
    }

    fn session(&mut self, r: usize, event: SessionEvent) {
        let now = self.session_now();
        let mut actions = Vec::new();
        self.routers[r].sessions.handle(now, event, &mut actions);
        for action in actions {
            self.session_act(r, action);
        }
    }

    fn session_act(&mut self, r: usize, action: SessionAction) {
        let epoch = self.routers[r].epoch;
        match action {
            SessionAction::Append(seq, key, at) => self.after(SYNC, Ev::Synced(r, epoch, seq, key, at)),
            SessionAction::Push(p, push) => self.tell(r, p as usize, Peer::Push(push)),
            SessionAction::PushAll(p, seq) => {
                let m = &self.routers[r].sessions;
                let mut entries: Vec<(Key, i64)> = m.kept().iter().map(|(k, t)| (k, t.0)).collect();
                // Tables of the standard library have no order of their own.
                entries.sort_unstable_by_key(|(k, t)| (*t, *k));
                let floor = m.floor().filter(|_| !m.floor_due()).map(|t| t.0);
                self.tell(r, p as usize, Peer::Push(Push::All { entries }));
                self.tell(r, p as usize, Peer::Push(Push::Whole { seq, floor }));
            }
            SessionAction::Welcome(p, incarnation, holds) => {
                self.tell(r, p as usize, Peer::Welcome(incarnation, holds));
            }
            SessionAction::Confirm(p, seq) => self.tell(r, p as usize, Peer::Confirm(seq)),
            SessionAction::Ask(p, at) => self.tell(r, p as usize, Peer::Ask(at)),
            SessionAction::Drop(p) => self.unlink(p as usize, r),
            SessionAction::Release(request) => {
                let Some((client, session, commit)) = self.routers[r].tickets.remove(&request) else {
                    return;
                };
                self.check.acknowledged(session, commit);
                self.check.answered(self.now, r, request, false);
                self.served(client);
            }
            SessionAction::Fail(request) => {
                let Some((client, ..)) = self.routers[r].tickets.remove(&request) else { return };
                self.check.answered(self.now, r, request, false);
                self.count(client, |c| c.failed += 1);
                self.clients.remove(&client);
            }
            SessionAction::AppendFloor(_)
            | SessionAction::Refuse(..)
            | SessionAction::Reincarnate(_)
            | SessionAction::Superseded(_) => {}
        }
    }

    /// One router tells another something, in order: the way between two takes the same time always.
    fn tell(&mut self, from: usize, to: usize, message: Peer) {
        let (a, b) = (self.routers[from].hall, self.routers[to].hall);
        let ms = if a == b { self.plan.near_ms } else { self.plan.far_ms };
        let epochs = (self.routers[from].epoch, self.routers[to].epoch);
        self.after(us(ms), Ev::Peer { from, to, epochs, message });
    }

    fn peer(&mut self, from: usize, to: usize, epochs: (u32, u32), message: Peer) {
        let (there, back) = (self.linked.contains(&(from, to)), self.linked.contains(&(to, from)));
        if !self.lives(to, epochs.1) || self.routers[from].epoch != epochs.0 {
            return;
        }
        let peer = from as Instance;
        match message {
            Peer::Hello(incarnation) if there => {
                self.session(to, SessionEvent::Introduced(peer, incarnation))
            }
            Peer::Push(push) if there => self.session(to, SessionEvent::Pushed(peer, push)),
            Peer::Welcome(incarnation, holds) if back => {
                self.session(to, SessionEvent::Accepted { peer, incarnation, holds });
            }
            Peer::Confirm(seq) if back => self.session(to, SessionEvent::Confirmed(peer, seq)),
            Peer::Ask(at) if back => self.session(to, SessionEvent::Asked(peer, at)),
            _ => {}
        }
    }

    fn unlink(&mut self, from: usize, to: usize) {
        if self.linked.remove(&(from, to)) {
            if self.routers[to].up {
                self.session(to, SessionEvent::Left(from as Instance));
            }
            if self.routers[from].up {
                self.session(from, SessionEvent::Unlinked(to as Instance));
            }
        }
    }

    // ---- the registry ----

    fn news(&mut self, r: usize, event: NewsEvent) {
        let mut actions = Vec::new();
        self.routers[r].follower.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                NewsAction::Put(item) => self.fleet(r, FleetEvent::Put { name: item.key.clone(), item }),
                NewsAction::Gone(name) => self.fleet(r, FleetEvent::Gone(name)),
                NewsAction::Settled(_) => self.fleet(r, FleetEvent::Heard),
                _ => {}
            }
        }
    }

    fn fleet(&mut self, r: usize, event: FleetEvent) {
        let mut actions = Vec::new();
        self.routers[r].fleet.handle(self.now, event, &mut actions);
        let mut entries = Vec::new();
        for action in actions {
            let FleetAction::List(id, node) = action else { continue };
            let Some(n) = id.strip_prefix('n').and_then(|i| i.split('@').next()?.parse::<usize>().ok())
            else {
                continue;
            };
            let state = match node.state {
                State::InService => MemberState::Ready,
                State::Draining => MemberState::Draining,
                State::Gone => MemberState::Gone,
            };
            self.check.told(self.now, r, n, state == MemberState::Ready);
            entries.push(MemberEntry {
                id: MemberId(n as u32),
                group: GroupId(node.group),
                zone: node.zone.parse().unwrap_or(0),
                state,
                listed_primary: false,
                weight: node.weight,
                started: None,
            });
        }
        let deaf = self.plan.plant == Some(Plant::IgnoreDrains) && self.revision > 1;
        if !entries.is_empty() && !deaf {
            self.feed(r, Event::Members { complete: false, entries });
        }
    }

    // ---- nodes ----

    fn refuse(&mut self, job: Job, node: usize, outcome: Outcome, link: bool) {
        let lies = self.plan.plant == Some(Plant::DenyResets) && outcome == Outcome::Reset;
        let outcome = if lies { Outcome::ConnectFailed } else { outcome };
        let way = self.way(self.nodes[node].hall, self.routers[job.router].hall);
        self.after(way, Ev::Back { job, node, outcome, commit: None, from: Time(0), link });
    }

    fn at_node(&mut self, job: Job, node: usize, node_epoch: u32, fresh: bool) {
        let write = self.plan.class[job.class].freshness == "write";
        let n = &mut self.nodes[node];
        if !n.up || (!fresh && n.epoch != node_epoch) {
            let outcome = if fresh { Outcome::ConnectFailed } else { Outcome::Reset };
            return self.refuse(job, node, outcome, false);
        }
        if n.hung {
            return;
        }
        if fresh {
            if n.connections >= self.plan.connections {
                return self.refuse(job, node, Outcome::Full, false);
            }
            n.connections += 1;
        }
        if self.tips(node) {
            return self.refuse(job, node, Outcome::Reset, false);
        }
        let n = &mut self.nodes[node];
        if n.errs {
            return self.refuse(job, node, Outcome::Error, true);
        }
        if write && !n.primary {
            return self.refuse(job, node, Outcome::Miss, true);
        }
        if n.busy < self.plan.cores {
            n.busy += 1;
            self.serve(job, node);
        } else if n.waiting.len() < self.plan.queue {
            n.waiting.push_back(job);
        } else {
            self.refuse(job, node, Outcome::Full, true);
        }
    }

    /// Counts what comes to a cold node; whether it falls over.
    fn tips(&mut self, node: usize) -> bool {
        let cold = us(self.plan.cold_s * 1000.0);
        let (now, from) = (self.now, self.plan.cold_from);
        let each = self.plan.capacity() / self.nodes.len() as f64;
        let n = &mut self.nodes[node];
        let warmth = n.warmth(now, from, cold);
        if warmth >= 1.0 {
            return false;
        }
        n.recent.push_back(now);
        while n.recent.front().is_some_and(|t| now.0 - t.0 > 1_000_000) {
            n.recent.pop_front();
        }
        // A little slack for chance, as small counts scatter.
        if (n.recent.len() as f64) <= self.plan.overload_factor * each * warmth + 10.0 {
            return false;
        }
        self.check.tipped(now, node);
        self.crash(node);
        self.nodes[node].fallen = true;
        true
    }

    fn serve(&mut self, job: Job, node: usize) {
        let write = self.plan.class[job.class].freshness == "write";
        let spread = 0.4 - 0.6 * (1.0 - self.rng.f64()).max(1e-9).ln();
        let mut work = self.plan.class[job.class].work_ms * 1000.0 * spread;
        let gray = self.rng.f64();
        let (now, from, cold) = (self.now, self.plan.cold_from, us(self.plan.cold_s * 1000.0));
        let n = &self.nodes[node];
        work *= n.slow / n.warmth(now, from, cold);
        if gray < n.gray {
            work *= 10.0;
        }
        if write {
            work *= n.disk;
        }
        let epoch = n.epoch;
        self.after(work as i64, Ev::Done { node, epoch, job });
    }

    fn done(&mut self, node: usize, epoch: u32, job: Job) {
        if self.nodes[node].epoch != epoch {
            return;
        }
        let (now, ship) = (self.now, us(self.plan.ship_ms));
        let n = &mut self.nodes[node];
        n.busy -= 1;
        if let Some(next) = n.waiting.pop_front() {
            n.busy += 1;
            self.serve(next, node);
        }
        let n = &mut self.nodes[node];
        if n.hung {
            return;
        }
        let (group, hall) = (n.group, n.hall);
        let write = self.plan.class[job.class].freshness == "write";
        let from = n.position(now, ship);
        let commit = write.then_some(now);
        if write {
            self.check.ran(now, job.client);
        }
        if write {
            for r in group * (self.plan.replicas + 1)..(group + 1) * (self.plan.replicas + 1) {
                if r != node {
                    self.after(ship, Ev::Ship(r, now));
                }
            }
        }
        if self.apart(hall, self.routers[job.router].hall) {
            return;
        }
        let way = self.way(hall, self.routers[job.router].hall);
        self.after(way, Ev::Back { job, node, outcome: Outcome::Ok, commit, from, link: true });
    }

    /// A node's process dies: what it had is told to the routers by resets.
    fn crash(&mut self, node: usize) {
        self.nodes[node].stop();
        self.reset(node);
    }

    /// Every connection to a node breaks.
    fn reset(&mut self, node: usize) {
        self.nodes[node].connections = 0;
        let mut broken = Vec::new();
        for (r, sim) in self.routers.iter_mut().enumerate() {
            sim.idle.remove(&node);
            for (request, open) in &sim.open {
                for (attempt, _) in open.attempts.iter().enumerate().filter(|(_, a)| a.node == node && a.out)
                {
                    let job = Job {
                        router: r,
                        epoch: sim.epoch,
                        request: *request,
                        attempt: attempt as u32,
                        class: 0,
                        client: 0,
                    };
                    broken.push(job);
                }
            }
        }
        // The order in which a table of the standard library lies must not matter.
        broken.sort_unstable_by_key(|j| (j.router, j.request, j.attempt));
        broken.into_iter().for_each(|job| self.refuse(job, node, Outcome::Reset, false));
    }

    fn promote(&mut self, group: usize) {
        let members = group * (self.plan.replicas + 1)..(group + 1) * (self.plan.replicas + 1);
        if members.clone().any(|n| self.nodes[n].primary && self.nodes[n].up) {
            return;
        }
        let next = members.clone().filter(|n| self.nodes[*n].up && !self.nodes[*n].hung);
        let Some(next) = next.max_by_key(|n| (self.nodes[*n].applied, Reverse(*n))) else {
            return self.after(us(self.plan.handover_ms), Ev::Promote(group));
        };
        members.for_each(|n| self.nodes[n].primary = false);
        self.nodes[next].primary = true;
        self.nodes[next].applying.clear();
    }

    // ---- troubles ----

    fn begin(&mut self, t: usize) {
        let Trouble { kind, for_s, count, by, .. } = self.plan.trouble[t].clone();
        let all = |n: usize| if count == 0 { n } else { count.min(n) };
        let nodes: Vec<usize> = (0..self.nodes.len()).collect();
        let replicas: Vec<usize> =
            nodes.iter().copied().filter(|n| !self.nodes[*n].primary && self.nodes[*n].up).collect();
        let primaries: Vec<usize> = nodes.iter().copied().filter(|n| self.nodes[*n].primary).collect();
        let mut of = match kind {
            Kind::CrashPrimary => primaries,
            Kind::CrashReplica
            | Kind::Hang
            | Kind::FastErrors
            | Kind::Gray
            | Kind::SlowDisk
            | Kind::Drain => replicas,
            Kind::RestartRouters => (0..self.plan.routers).filter(|r| self.routers[*r].up).collect(),
            _ => nodes,
        };
        self.rng.shuffle(&mut of);
        of.truncate(all(of.len()));
        let until = us(for_s * 1000.0);
        for &n in &of {
            match kind {
                Kind::CrashPrimary => {
                    let group = self.nodes[n].group;
                    self.crash(n);
                    let epoch = self.nodes[n].epoch;
                    self.after(us(self.plan.handover_ms), Ev::Promote(group));
                    self.after(until.max(us(self.plan.handover_ms) + 1), Ev::Restart(n, epoch));
                }
                Kind::CrashReplica => {
                    self.crash(n);
                    let epoch = self.nodes[n].epoch;
                    self.after(until, Ev::Restart(n, epoch));
                }
                Kind::Hang => self.nodes[n].hung = true,
                Kind::FastErrors => self.nodes[n].errs = true,
                Kind::Slow => self.nodes[n].slow = by,
                Kind::Gray => self.nodes[n].gray = by.min(1.0),
                Kind::SlowDisk => self.nodes[n].disk = by,
                Kind::Reconnect => self.reset(n),
                Kind::Drain => self.list(n, "draining"),
                Kind::RestartRouters => self.kill(n, until),
                Kind::Partition | Kind::RegistryOutage | Kind::Surge => {}
            }
        }
        match kind {
            Kind::Surge => self.surge = by,
            Kind::RegistryOutage => self.outage = true,
            Kind::Partition => {
                let hall = self.rng.usize(0..self.plan.halls);
                self.cut = Some(hall);
                let apart: Vec<(usize, usize)> = self
                    .linked
                    .iter()
                    .copied()
                    .filter(|(a, b)| self.apart(self.routers[*a].hall, self.routers[*b].hall))
                    .collect();
                apart.into_iter().for_each(|(a, b)| self.unlink(a, b));
            }
            _ => {}
        }
        self.met.insert(t, of);
        self.after(until, Ev::End(t));
    }

    fn put_right(&mut self, t: usize) {
        let kind = self.plan.trouble[t].kind;
        for n in self.met.remove(&t).unwrap_or_default() {
            match kind {
                Kind::Hang => {
                    self.nodes[n].hung = false;
                    // What it had taken is answered by nobody: its connections break.
                    (self.nodes[n].busy, self.nodes[n].epoch) = (0, self.nodes[n].epoch + 1);
                    self.nodes[n].waiting.clear();
                    self.reset(n);
                }
                Kind::FastErrors => self.nodes[n].errs = false,
                Kind::Slow => self.nodes[n].slow = 1.0,
                Kind::Gray => self.nodes[n].gray = 0.0,
                Kind::SlowDisk => self.nodes[n].disk = 1.0,
                Kind::Drain => self.list(n, "in_service"),
                _ => {}
            }
        }
        match kind {
            Kind::Surge => self.surge = 1.0,
            Kind::Partition => self.cut = None,
            Kind::RegistryOutage => {
                self.outage = false;
                let late = std::mem::take(&mut self.waiting_news);
                late.into_iter().for_each(|(r, changes)| self.after(1000, Ev::News(r, changes)));
            }
            _ => {}
        }
    }

    /// Writes a node's state to the registry.
    fn list(&mut self, n: usize, state: &str) {
        self.revision += 1;
        let changed = item(n, state, 1, self.revision, self.nodes[n].group, self.nodes[n].hall);
        for r in 0..self.plan.routers {
            let late = us(self.plan.news_ms);
            self.after(late, Ev::News(r, vec![Change::Put(changed.clone())]));
        }
    }

    fn kill(&mut self, r: usize, until: i64) {
        let sim = &mut self.routers[r];
        (sim.up, sim.epoch) = (false, sim.epoch + 1);
        let mut lost: Vec<(u64, u64, bool)> =
            sim.open.drain().map(|(id, o)| (id, o.client, o.answered)).collect();
        lost.extend(sim.tickets.drain().map(|(id, (client, ..))| (id, client, false)));
        sim.idle.clear();
        lost.sort_unstable();
        lost.dedup_by_key(|l| l.1);
        self.check.killed(r);
        let links: Vec<(usize, usize)> =
            self.linked.iter().copied().filter(|(a, b)| *a == r || *b == r).collect();
        links.into_iter().for_each(|(a, b)| self.unlink(a, b));
        for (_, client, _) in lost {
            let safe = self.clients.get(&client).is_some_and(|c| self.plan.class[c.class].safe);
            if safe {
                self.again(client, true, None);
            } else if self.clients.contains_key(&client) {
                self.count(client, |c| c.failed += 1);
                self.clients.remove(&client);
            }
        }
        self.after(until.max(50_000), Ev::RouterUp(r));
    }

    fn results(self) -> Results {
        let names = self.plan.class.iter().map(|c| c.name.clone());
        let counts = self.classes.into_iter().map(|(c, t)| {
            let latency = t.latency();
            (c, latency)
        });
        Results {
            plan: self.plan.name.clone(),
            seed: self.plan.seed,
            nodes: self.nodes.len(),
            routers: self.plan.routers,
            classes: names.zip(counts).collect::<BTreeMap<_, _>>(),
            seconds: self.seconds,
            broken: self.check.broken,
            first_broken: self.check.first,
            events: self.played,
            checked: self.check.checked,
        }
    }
}
