//! Plays a plan: one queue of events in simulated time, in which routers' state machines meet nodes and clients.
use crate::check::Checker;
use crate::node::{Job, Node};
use crate::plan::{Kind, Plan, Plant, Trouble};
use crate::result::{Counts, Results, Times};
use crate::spread::Meter;
use decision::{
    Action, Event, Freshness, GroupId, MemberEntry, MemberId, MemberReport, MemberState, Outcome, Request,
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

mod clients;
mod network;
mod nodes;
mod routers;
mod troubles;

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
    Probed { router: usize, epoch: u32, node: usize, outcome: Outcome, report: MemberReport },
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
    meter: Meter,
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
        let groups: Vec<usize> = nodes.iter().map(|n| n.group).collect();
        let begin = Time(1_000_000 + us(plan.warmup_s * 1000.0));
        let meter = Meter::new(begin, (plan.seconds - plan.warmup_s) as usize, &groups);
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
            meter,
            played: 0,
            shares: plan.class.iter().map(|c| c.share).sum(),
        };
        for r in 0..plan.routers {
            let hall = r % plan.halls;
            let sim = world.router(r, hall, 0, Vec::new());
            world.routers.push(sim);
        }
        (0..plan.routers).for_each(|r| world.begin_router(r));
        world.seats();
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

    /// Tells the meter which replicas are in service.
    fn seats(&mut self) {
        let drains = |t: &usize| self.plan.trouble[*t].kind == Kind::Drain;
        let drained: BTreeSet<usize> =
            self.met.iter().filter(|(t, _)| drains(t)).flat_map(|(_, nodes)| nodes).copied().collect();
        for (n, node) in self.nodes.iter().enumerate() {
            let well = node.up && !node.hung && !node.errs && !node.primary;
            let serves = well && self.cut != Some(node.hall) && !drained.contains(&n);
            self.meter.service(self.now, n, serves, node.busy + node.waiting.len());
        }
    }

    fn take(&mut self, event: Ev) {
        let changes = matches!(event, Ev::Promote(_) | Ev::Begin(_) | Ev::End(_) | Ev::Restart(..));
        self.happen(event);
        if changes {
            self.seats();
        }
    }

    fn happen(&mut self, event: Ev) {
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
                    self.feed(router, Event::ProbeEnded { member: MemberId(node as u32), outcome, report });
                }
            }
            Ev::Wake(r, epoch) if self.lives(r, epoch) => self.feed(r, Event::TimerExpired),
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

    fn results(self) -> Results {
        let end = self.end();
        let names = self.plan.class.iter().map(|c| c.name.clone());
        let counts = self.classes.into_iter().map(|(c, t)| {
            let latency = t.latency();
            (c, latency)
        });
        let ends: Vec<f64> =
            self.plan.trouble.iter().map(|t| t.at_s + t.for_s - self.plan.warmup_s).collect();
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
            spread: self.meter.close(end, &ends),
        }
    }
}
