//! A small fleet in one thread: nodes, routers, a network that loses, delays and doubles, clocks that run wrong, and
//! the true time of each admission.
#![allow(dead_code)]
use decision::{Micros, Time};
use quotas::{
    Action, Admission, Allocator, Event, GrantResponse, QuotaClient, QuotaClientSettings, Report, Settings,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use settings::fleet::{Fleet, OnLoss, Quota, Tenant};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

pub fn quota(rate: f64, burst: u32, on_loss: OnLoss) -> Quota {
    Quota { rate, burst, on_loss }
}

pub fn fleet(routers: u32, quotas: &[(String, Quota)]) -> Fleet {
    let tenant = |q: &Quota| Tenant { quota: Some(q.clone()), ..Tenant::default() };
    let tenants = quotas.iter().map(|(name, q)| (name.clone(), tenant(q))).collect();
    Fleet { routers, unnamed: quotas[0].0.clone(), tenants, ..Fleet::default() }
}

#[derive(Clone, Copy, Debug)]
pub struct Net {
    pub lost: f64,
    pub doubled: f64,
    /// Delays are up to `usual`, and with probability `held` up to `longest`.
    pub usual: Micros,
    pub held: f64,
    pub longest: Micros,
}

pub const CALM: Net = Net { lost: 0.0, doubled: 0.0, usual: 2_000, held: 0.0, longest: 2_000 };

#[derive(Clone, Debug)]
pub enum Fault {
    /// No contact.
    Cut(usize, Micros),
    /// The process stands still; what arrives waits.
    Stop(usize, Micros),
    /// The process is gone, and starts anew after a time.
    Kill(usize, Micros),
    /// It gives back, and starts anew after a time.
    Leave(usize, Micros),
    /// Another node, or the same one again, leads.
    Elect(usize),
    /// All nodes lose what they know.
    Restart(usize),
    /// A tenant's quota, and the number of places where it is not 0.
    Quota(usize, f64, u32, u32),
    /// A router's requests a second of a tenant.
    Demand(usize, usize, f64),
    Net(Net),
}

enum Ev {
    Exchange(usize, u64),
    Timeout(usize, u64, u64),
    ToNode(usize, usize, Report),
    ToRouter(usize, GrantResponse),
    Ask(usize, usize, u64),
    Learn(usize, u64, u64),
    Start(usize),
    Fault(Fault),
}

struct Clock {
    offset: i64,
    ppm: i64,
}

impl Clock {
    fn at(&self, now: i64) -> Time {
        Time(self.offset + (i128::from(now) * i128::from(self.ppm) / 1_000_000) as i64)
    }
}

pub struct Router {
    pub pocket: QuotaClient,
    clock: Clock,
    start: u64,
    alive: bool,
    stopped: i64,
    cut: i64,
    open: Option<u64>,
    /// Timers of the last urgent report and of each tenant's demand.
    timer: u64,
    hurried: i64,
    demand: Vec<(f64, u64)>,
    learning: u64,
}

/// Where messages go by the way.
#[derive(Default)]
pub struct Sums {
    pub reports: u64,
    pub report_bytes: u64,
    pub answer_bytes: u64,
    pub spent_handling: std::time::Duration,
    pub slowest: std::time::Duration,
    pub refused: u64,
}

pub struct World {
    pub now: i64,
    queue: BinaryHeap<Reverse<(i64, u64)>>,
    events: std::collections::HashMap<u64, Ev>,
    count: u64,
    pub random: SmallRng,
    net: Net,
    settings: Settings,
    nodes: Vec<(Allocator, Clock)>,
    leader: usize,
    term: u64,
    pub routers: Vec<Router>,
    names: Vec<String>,
    pub versions: Vec<(i64, Arc<Fleet>)>,
    /// True times of admissions by tenant, and the router of each.
    pub history: Vec<Vec<(i64, usize)>>,
    pub sums: Sums,
    /// Sizes and times are taken.
    pub measure: bool,
    slots: bool,
}

impl World {
    pub fn new(seed: u64, routers: usize, fleet: Fleet, settings: Settings, slots: bool) -> World {
        let mut random = SmallRng::seed_from_u64(seed);
        let drift = (settings.max_clock_drift * 1e6) as i64;
        let mut clock = || Clock {
            offset: random.random_range(0..1 << 40),
            ppm: 1_000_000 + random.random_range(-drift..=drift),
        };
        let nodes = (0..3).map(|_| (Allocator::new(settings.clone()), clock())).collect();
        let names: Vec<String> = fleet.tenants.keys().cloned().collect();
        let routers = (0..routers).map(|i| Router {
            pocket: pocket(i, 1, slots, &settings),
            clock: clock(),
            start: 1,
            alive: false,
            stopped: 0,
            cut: 0,
            open: None,
            timer: 0,
            hurried: 0,
            demand: vec![(0.0, 0); names.len()],
            learning: 0,
        });
        let routers: Vec<Router> = routers.collect();
        let mut world = World {
            now: 0,
            queue: BinaryHeap::new(),
            events: Default::default(),
            count: 0,
            random,
            net: CALM,
            settings,
            nodes,
            leader: 0,
            term: 0,
            routers,
            history: vec![Vec::new(); names.len()],
            names,
            versions: vec![(0, Arc::new(fleet))],
            sums: Sums::default(),
            measure: false,
            slots,
        };
        world.elect(0);
        for i in 0..world.routers.len() {
            world.start(i);
        }
        world
    }

    fn push(&mut self, at: i64, ev: Ev) {
        self.count += 1;
        self.events.insert(self.count, ev);
        self.queue.push(Reverse((at, self.count)));
    }

    pub fn plan(&mut self, at: i64, fault: Fault) {
        self.push(at, Ev::Fault(fault));
    }

    pub fn run(&mut self, until: i64) {
        while let Some(&Reverse((at, id))) = self.queue.peek() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            if let Some(ev) = self.events.remove(&id) {
                self.step(ev);
            }
        }
        self.now = until;
    }

    /// A moment that a stopped process sees only afterwards.
    fn put_off(&mut self, i: usize, ev: Ev) -> Option<Ev> {
        if self.routers[i].stopped > self.now {
            let at = self.routers[i].stopped;
            self.push(at, ev);
            return None;
        }
        Some(ev)
    }

    fn step(&mut self, ev: Ev) {
        match ev {
            Ev::Exchange(i, timer) if self.routers[i].timer == timer && self.routers[i].alive => {
                if self.put_off(i, Ev::Exchange(i, timer)).is_some() {
                    self.exchange(i);
                }
            }
            Ev::Timeout(i, start, seq) => {
                if self.put_off(i, Ev::Timeout(i, start, seq)).is_some() {
                    let r = &mut self.routers[i];
                    if r.alive && r.start == start && r.open == Some(seq) {
                        r.open = None;
                        r.pocket.exchange_failed();
                    }
                }
            }
            Ev::ToNode(node, i, report) => self.arrives(node, i, report),
            Ev::ToRouter(i, answer) => {
                if let Some(Ev::ToRouter(_, answer)) = self.put_off(i, Ev::ToRouter(i, answer)) {
                    self.answered(i, answer);
                }
            }
            Ev::Ask(i, t, timer) if self.routers[i].demand[t].1 == timer => {
                if self.put_off(i, Ev::Ask(i, t, timer)).is_some() {
                    self.ask(i, t);
                }
            }
            Ev::Learn(i, start, version) => {
                if self.put_off(i, Ev::Learn(i, start, version)).is_some()
                    && self.routers[i].alive
                    && self.routers[i].start == start
                {
                    let r = &mut self.routers[i];
                    r.learning = 0;
                    let fleet = self.versions[version as usize - 1].1.clone();
                    r.pocket.apply_config(r.clock.at(self.now), version, &fleet);
                }
            }
            Ev::Start(i) => self.start(i),
            Ev::Fault(fault) => self.fault(fault),
            Ev::Exchange(..) | Ev::Ask(..) => {}
        }
    }

    fn start(&mut self, i: usize) {
        let settings = self.settings.clone();
        let r = &mut self.routers[i];
        r.start += 1;
        r.pocket = pocket(i, r.start, self.slots, &settings);
        r.alive = true;
        r.open = None;
        r.learning = 0;
        r.timer += 1;
        // No router runs without a configuration here: that admits everything.
        let version = self.versions.len() as u64;
        r.pocket.apply_config(r.clock.at(self.now), version, &self.versions[version as usize - 1].1);
        let timer = r.timer;
        let at = self.now + self.random.random_range(0..200_000);
        self.push(at, Ev::Exchange(i, timer));
    }

    fn delay(&mut self) -> i64 {
        let most = if self.random.random_bool(self.net.held) { self.net.longest } else { self.net.usual };
        self.random.random_range(1..=most)
    }

    /// The moments at which a message arrives: none, one or two.
    fn arrivals(&mut self, i: usize) -> Vec<i64> {
        let mut at = Vec::new();
        if self.routers[i].cut > self.now || self.random.random_bool(self.net.lost) {
            return at;
        }
        at.push(self.now + self.delay());
        if self.random.random_bool(self.net.doubled) {
            at.push(self.now + self.delay());
        }
        at
    }

    fn send(&mut self, i: usize, report: Report) {
        if self.measure {
            self.sums.report_bytes += postcard::to_stdvec(&report).map_or(0, |b| b.len() as u64);
        }
        // Mostly to the leader; sometimes to one that no longer leads, or will.
        let node = if self.random.random_bool(0.05) { self.random.random_range(0..3) } else { self.leader };
        let node = if self.net.lost > 0.0 { node } else { self.leader };
        for at in self.arrivals(i) {
            self.push(at, Ev::ToNode(node, i, report.clone()));
        }
    }

    fn exchange(&mut self, i: usize) {
        let next = self.now + 200_000 + self.random.random_range(-2_000..=2_000);
        let r = &mut self.routers[i];
        r.timer += 1;
        let timer = r.timer;
        if r.open.is_none() {
            let report = r.pocket.report(r.clock.at(self.now));
            r.open = Some(report.seq);
            let (start, seq) = (r.start, report.seq);
            self.push(self.now + 500_000, Ev::Timeout(i, start, seq));
            self.send(i, report);
        }
        self.push(next, Ev::Exchange(i, timer));
    }

    fn arrives(&mut self, node: usize, i: usize, report: Report) {
        // Only a node that a majority confirms after it has read its clock decides. Its answer may be late.
        if node != self.leader {
            return;
        }
        let mut actions = Vec::new();
        let (allocator, clock) = &mut self.nodes[node];
        let begin = std::time::Instant::now();
        allocator.handle(clock.at(self.now), Event::Report { connection: i as u64, report }, &mut actions);
        if self.measure {
            let spent = begin.elapsed();
            self.sums.reports += 1;
            self.sums.spent_handling += spent;
            self.sums.slowest = self.sums.slowest.max(spent);
        }
        for Action::Respond { connection: to, response: answer } in actions {
            if self.measure {
                self.sums.answer_bytes += postcard::to_stdvec(&answer).map_or(0, |b| b.len() as u64);
            }
            for at in self.arrivals(to as usize) {
                self.push(at, Ev::ToRouter(to as usize, answer.clone()));
            }
        }
    }

    fn answered(&mut self, i: usize, answer: GrantResponse) {
        let r = &mut self.routers[i];
        if !r.alive {
            return;
        }
        if r.start == answer.incarnation && r.open == Some(answer.seq) {
            r.open = None;
        }
        let behind = answer.incarnation == r.start
            && answer.version > r.pocket.version()
            && r.learning < answer.version;
        let version = answer.version;
        r.pocket.handle_response(r.clock.at(self.now), answer);
        if behind {
            r.learning = version;
            let start = r.start;
            let at = self.now + self.delay();
            self.push(at, Ev::Learn(i, start, version));
        }
    }

    fn ask(&mut self, i: usize, t: usize) {
        let (rate, timer) = self.routers[i].demand[t];
        let wait = -(1.0 - self.random.random::<f64>()).ln() / rate * 1e6;
        self.push(self.now + (wait as i64).max(1), Ev::Ask(i, t, timer));
        let r = &mut self.routers[i];
        if !r.alive {
            return;
        }
        match r.pocket.admit(r.clock.at(self.now), &self.names[t]) {
            Admission::Admitted => self.history[t].push((self.now, i)),
            Admission::Shed { retry_after: come_back } => {
                assert!(
                    come_back > 0 && come_back <= 2 * self.settings.zero_quota_retry_after,
                    "{come_back}"
                );
                self.sums.refused += 1;
            }
        }
        if r.pocket.wants_early_report() && r.open.is_none() && self.now - r.hurried > 20_000 {
            r.hurried = self.now;
            self.exchange(i);
        }
    }

    fn elect(&mut self, node: usize) {
        self.term += 1;
        self.leader = node;
        let term = self.term;
        self.tell(node);
        let (allocator, clock) = &mut self.nodes[node];
        allocator.handle(clock.at(self.now), Event::BecameLeader { term }, &mut Vec::new());
    }

    /// The leader knows the newest version.
    fn tell(&mut self, node: usize) {
        let version = self.versions.len() as u64;
        let fleet = self.versions[version as usize - 1].1.clone();
        let (allocator, clock) = &mut self.nodes[node];
        allocator.handle(clock.at(self.now), Event::Config { version, fleet }, &mut Vec::new());
    }

    fn fault(&mut self, fault: Fault) {
        let n = self.routers.len();
        match fault {
            Fault::Cut(i, span) => self.routers[i % n].cut = self.now + span,
            Fault::Stop(i, span) => self.routers[i % n].stopped = self.now + span,
            Fault::Kill(i, span) | Fault::Leave(i, span) => {
                let i = i % n;
                if matches!(fault, Fault::Leave(..))
                    && self.routers[i].alive
                    && self.routers[i].stopped <= self.now
                {
                    let r = &mut self.routers[i];
                    let report = r.pocket.release_all(r.clock.at(self.now));
                    self.send(i, report);
                }
                self.routers[i].alive = false;
                self.routers[i].stopped = 0;
                self.push(self.now + span, Ev::Start(i));
            }
            Fault::Elect(node) => self.elect(node % 3),
            Fault::Restart(node) => {
                for (allocator, _) in &mut self.nodes {
                    *allocator = Allocator::new(self.settings.clone());
                }
                self.elect(node % 3);
            }
            Fault::Quota(t, rate, burst, routers) => {
                let mut fleet = Fleet::clone(&self.versions[self.versions.len() - 1].1);
                let name = &self.names[t % self.names.len()];
                if let Some(q) = fleet.tenants.get_mut(name).and_then(|t| t.quota.as_mut()) {
                    (q.rate, q.burst) = (rate, burst);
                }
                if routers > 0 {
                    fleet.routers = routers;
                }
                self.versions.push((self.now, Arc::new(fleet)));
                self.tell(self.leader);
            }
            Fault::Demand(i, t, rate) => {
                let (i, t) = (i % n, t % self.names.len());
                let (was, timer) = &mut self.routers[i].demand[t];
                *was = rate;
                *timer += 1;
                let timer = *timer;
                if rate > 0.0 {
                    let first = (1e6 / rate) as i64;
                    let at = self.now + self.random.random_range(0..=first);
                    self.push(at, Ev::Ask(i, t, timer));
                }
            }
            Fault::Net(net) => self.net = net,
        }
    }

    /// Admissions of tenant `t` in a span of true time.
    pub fn admitted(&self, t: usize, from: i64, to: i64) -> usize {
        self.history[t].iter().filter(|&&(at, _)| at >= from && at < to).count()
    }

    /// Checks every window of every tenant: what was admitted in it is at most what the rates in force make in it, and
    /// the burst in force at its begin. A version is in force from its commit until a loan's time after the next one's.
    pub fn check(&self) -> Result<(), String> {
        for t in 0..self.names.len() {
            self.check_tenant(t)?;
        }
        Ok(())
    }

    fn check_tenant(&self, t: usize) -> Result<(), String> {
        let quotas: Vec<(i64, f64, u32)> = self
            .versions
            .iter()
            .map(|(at, fleet)| {
                let q = fleet.tenants[&self.names[t]].quota.as_ref();
                q.map_or((*at, f64::MAX, 0), |q| (*at, q.rate, q.burst))
            })
            .collect();
        // Pieces of time in which the largest in force are constant: (begin, rate, burst).
        let ttl = self.settings.ttl;
        let mut edges: Vec<i64> = quotas.iter().flat_map(|q| [q.0, q.0 + ttl]).collect();
        edges.push(0);
        edges.sort_unstable();
        edges.dedup();
        let pieces: Vec<(i64, i128, i128)> = edges
            .iter()
            .map(|&at| {
                let in_force = (0..quotas.len())
                    .filter(|&k| quotas[k].0 <= at && quotas.get(k + 1).is_none_or(|next| at < next.0 + ttl));
                let (mut rate, mut burst) = (0, 0);
                for k in in_force {
                    rate = rate.max((quotas[k].1 * 1e6) as i128);
                    burst = burst.max(i128::from(quotas[k].2));
                }
                (at, rate, burst * 1_000_000_000_000)
            })
            .collect();
        // All in units of 1e-12 of a token.
        let mut made = 0i128;
        let mut piece = 0;
        let mut at = 0;
        let mut points = Vec::new();
        for (k, &(time, _)) in self.history[t].iter().enumerate() {
            while piece + 1 < pieces.len() && pieces[piece + 1].0 <= time {
                made += pieces[piece].1 * i128::from(pieces[piece + 1].0 - at);
                at = pieces[piece + 1].0;
                piece += 1;
            }
            made += pieces[piece].1 * i128::from(time - at);
            at = time;
            // The begin of a window may be just before this admission.
            points.push((k as i128 * 1_000_000_000_000 - made, pieces[piece].2));
        }
        let mut most = i128::MIN;
        for (k, &(level, burst)) in points.iter().enumerate().rev() {
            most = most.max(level + 1_000_000_000_000);
            if most - level > burst {
                return Err(format!(
                    "tenant {} spends {} tokens too many in a window from {}",
                    self.names[t],
                    (most - level - burst) as f64 / 1e12,
                    self.history[t][k].0
                ));
            }
        }
        Ok(())
    }
}

fn pocket(i: usize, start: u64, slots: bool, settings: &Settings) -> QuotaClient {
    QuotaClient::new(QuotaClientSettings {
        router: format!("r{i}"),
        incarnation: start,
        slot: slots.then_some(i as u32 + 1),
        settings: settings.clone(),
        seed: i as u64 * 1_000 + start,
    })
}
