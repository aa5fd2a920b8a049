//! The checker: a pure function over a whole history.
//!
//! **Quotas.** A request is admitted by its router after the client wrote it and before a server has read it, and both
//! times are known. So of all requests that were sent at or after `a` and run by `b`, it is certain that they were
//! admitted within `[a, b]`, and no slack is needed: their number may be at most `rate x (b - a) + burst`, for every `a`
//! and `b`. The excess by arrival alone is given as a figure: it holds what waited on the way.
use crate::history::{Bound, History, Micros, Outcome, Request, Step};
use std::collections::{BTreeMap, HashMap};
use std::fmt;

/// What the checker is told.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// A quota that was lowered holds this long after its commit: a loan's time and the way to all routers.
    pub quota_settles: Micros,
    /// A tightened rule holds this long after its commit.
    pub place_settles: Micros,
    /// Spread is looked at window by window.
    pub window: Micros,
}

impl Default for Bounds {
    fn default() -> Self {
        // 250 ms and a loan's time of 2 s, each.
        Bounds { quota_settles: 2_250_000, place_settles: 2_250_000, window: 1_000_000 }
    }
}

/// Something that must not be.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// More was admitted than the quota allows.
    Quota {
        /// The tenant.
        tenant: String,
        /// The worst window.
        worst: Window,
    },
    /// A statement ran outside its tenant's sites.
    Outside {
        /// The tenant.
        tenant: String,
        /// The server's name.
        server: String,
        /// How many did.
        statements: usize,
        /// The latest one, after its rule was committed.
        latest: Micros,
    },
    /// A write ran more than once.
    Twice {
        /// The request.
        id: u64,
        /// How often.
        times: usize,
    },
    /// A request to a router that was up ended without a final answer.
    NoAnswer {
        /// The request.
        id: u64,
        /// Its router.
        router: usize,
        /// How it ended.
        outcome: Outcome,
    },
    /// A router sent an answer that nobody waited for, or another request's.
    Stray {
        /// The router.
        router: usize,
        /// How many.
        answers: usize,
    },
    /// It is told as refused, but a write ran.
    RanRefused {
        /// The request.
        id: u64,
    },
    /// It is told as served, but ran nowhere.
    NeverRan {
        /// The request.
        id: u64,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let s = |at: &Micros| *at as f64 / 1e6;
        match self {
            Violation::Quota { tenant, worst } => write!(f, "quota of tenant {tenant}: {worst}"),
            Violation::Outside { tenant, server, statements, latest } => write!(
                f,
                "place of tenant {tenant}: {statements} statements at {server}, the latest {:.3} s after the rule",
                s(latest)
            ),
            Violation::Twice { id, times } => write!(f, "write {id} ran {times} times"),
            Violation::NoAnswer { id, router, outcome } => {
                write!(f, "request {id} at router {router}, which was up, had no answer: {outcome:?}")
            }
            Violation::Stray { router, answers } => {
                write!(f, "router {router} sent {answers} answers that nobody waited for")
            }
            Violation::RanRefused { id } => write!(f, "write {id} was told as refused, but ran"),
            Violation::NeverRan { id } => write!(f, "request {id} was told as served, but no server ran it"),
        }
    }
}

/// The window in which a tenant came nearest to its bound, or farthest beyond it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Window {
    /// Its begin.
    pub from: Micros,
    /// Its end.
    pub to: Micros,
    /// Requests in it beyond the bound; below 0 there was room.
    pub over: f64,
}

impl fmt::Display for Window {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let s = |at: Micros| at as f64 / 1e6;
        write!(f, "{:+.1} beside the bound from {:.3} to {:.3} s", self.over, s(self.from), s(self.to))
    }
}

/// A tenant's figures.
#[derive(Clone, Debug, PartialEq)]
pub struct Spent {
    /// The tenant.
    pub tenant: String,
    /// Requests that ran.
    pub ran: usize,
    /// What its rate made from the load's begin to the last request's end; `None` without a quota.
    pub made: Option<f64>,
    /// By what is certain; `None` where it has no quota or nothing ran.
    pub certain: Option<Window>,
    /// By arrival at servers.
    pub by_arrival: Option<Window>,
}

/// How evenly a group's replicas were used, over its windows that had at least five reads for each.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spread {
    /// The group.
    pub group: u32,
    /// Replicas.
    pub replicas: usize,
    /// Windows.
    pub windows: usize,
    /// The mean over windows of the busiest replica's reads by the mean replica's.
    pub max_by_mean: f64,
    /// The worst window's.
    pub worst: f64,
    /// Replicas without a read, over all windows.
    pub idle: usize,
    /// The mean that throwing the same reads at random would give,
    pub chance: f64,
    /// and its idle replicas.
    pub chance_idle: f64,
}

/// What the checker found.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Must be empty.
    pub violations: Vec<Violation>,
    /// By tenant.
    pub spent: Vec<Spent>,
    /// By group.
    pub spread: Vec<Spread>,
    /// The longest time from a request's being sent to its first run.
    pub longest_way: Micros,
}

/// Which steps are in force at a time: from the begin of their change until the next is settled.
fn in_force<T>(steps: &[Step<T>], at: Micros, settles: Micros) -> impl Iterator<Item = &T> {
    let over = move |i: usize| steps.get(i + 1).is_some_and(|n| n.committed + settles <= at);
    steps.iter().enumerate().filter(move |(i, s)| s.begun <= at && !over(*i)).map(|(_, s)| &s.is)
}

/// A quota's upper bound in time: pieces of constant rate and burst.
struct Envelope {
    /// Begin, rate a second, burst, and what the rate makes up to the begin.
    pieces: Vec<(Micros, f64, f64, f64)>,
}

impl Envelope {
    fn new(steps: &[Step<Option<Bound>>], settles: Micros) -> Envelope {
        let mut edges: Vec<Micros> =
            steps.iter().flat_map(|s| [s.begun, s.committed + settles]).chain([0]).collect();
        edges.sort_unstable();
        edges.dedup();
        let (mut pieces, mut made): (Vec<(Micros, f64, f64, f64)>, f64) = (Vec::new(), 0.0);
        for at in edges {
            if let Some((begun, rate, ..)) = pieces.last() {
                made += rate * (at - begun) as f64 / 1e6;
            }
            let mut most = Bound { rate: 0.0, burst: 0.0 };
            for bound in in_force(steps, at, settles) {
                // Unbounded is far more than any run can ask.
                let b = bound.unwrap_or(Bound { rate: 1e9, burst: 1e9 });
                (most.rate, most.burst) = (most.rate.max(b.rate), most.burst.max(b.burst));
            }
            pieces.push((at, most.rate, most.burst, made));
        }
        Envelope { pieces }
    }

    fn at(&self, at: Micros) -> (f64, f64) {
        let piece = self.pieces.partition_point(|p| p.0 <= at).saturating_sub(1);
        let (begun, rate, burst, made) = self.pieces[piece];
        (made + rate * at.saturating_sub(begun) as f64 / 1e6, burst)
    }
}

/// A maximum over positions, with additions to all positions up to one.
struct Tree {
    size: usize,
    /// The most below a node, what is added to all below it, and where the most is.
    nodes: Vec<(f64, f64, usize)>,
}

impl Tree {
    fn new(values: &[f64]) -> Tree {
        let size = values.len().next_power_of_two();
        let mut nodes = vec![(f64::NEG_INFINITY, 0.0, 0); 2 * size];
        for (i, v) in values.iter().enumerate() {
            nodes[size + i] = (*v, 0.0, i);
        }
        let mut tree = Tree { size, nodes };
        (1..size).rev().for_each(|n| tree.pull(n));
        tree
    }

    fn pull(&mut self, n: usize) {
        let (a, b) = (self.nodes[2 * n], self.nodes[2 * n + 1]);
        let most = if a.0 >= b.0 { a } else { b };
        (self.nodes[n].0, self.nodes[n].2) = (most.0 + self.nodes[n].1, most.2);
    }

    /// Adds 1 to each position up to and with `last`; gives the most among them and its place.
    fn add(&mut self, last: usize) -> (f64, usize) {
        let mut n = self.size + last;
        self.nodes[n].0 += 1.0;
        let mut most = (self.nodes[n].0, self.nodes[n].2);
        while n > 1 {
            if n % 2 == 1 {
                let left = &mut self.nodes[n - 1];
                (left.0, left.1) = (left.0 + 1.0, left.1 + 1.0);
                if left.0 >= most.0 {
                    most = (left.0, left.2);
                }
            }
            n /= 2;
            self.pull(n);
            most.0 += self.nodes[n].1;
        }
        most
    }
}

/// The worst window; each request is its earliest and its latest time of admission.
fn worst(admitted: &[(Micros, Micros)], envelope: &Envelope) -> Option<Window> {
    let mut begins: Vec<Micros> = admitted.iter().map(|(a, _)| *a).collect();
    begins.sort_unstable();
    begins.dedup();
    if begins.is_empty() {
        return None;
    }
    let values: Vec<f64> = begins.iter().map(|a| envelope.at(*a)).map(|(made, burst)| made - burst).collect();
    let (mut tree, mut by_end) = (Tree::new(&values), admitted.to_vec());
    by_end.sort_unstable_by_key(|(_, b)| *b);
    let mut found: Option<Window> = None;
    for (a, b) in by_end {
        let (most, at) = tree.add(begins.partition_point(|x| *x < a));
        let over = most - envelope.at(b).0;
        if found.is_none_or(|f| over > f.over) {
            found = Some(Window { from: begins[at], to: b, over });
        }
    }
    found
}

fn quotas(history: &History, bounds: &Bounds, verdict: &mut Verdict) {
    let sent: HashMap<u64, Micros> = history.requests.iter().filter_map(|r| Some((r.id, r.sent?))).collect();
    // Further attempts cost nothing: a request counts where it first ran.
    let mut first: BTreeMap<u64, (Micros, usize)> = BTreeMap::new();
    for s in &history.statements {
        let f = first.entry(s.id).or_insert((s.at, s.tenant));
        f.0 = f.0.min(s.at);
    }
    for (i, tenant) in history.tenants.iter().enumerate() {
        let of: Vec<(Micros, Micros)> = first
            .iter()
            .filter(|(_, (_, t))| *t == i)
            .map(|(id, (at, _))| (sent.get(id).copied().unwrap_or(*at).min(*at), *at))
            .collect();
        verdict.longest_way = of.iter().map(|(a, b)| b - a).fold(verdict.longest_way, Micros::max);
        let bounded = tenant.quotas.iter().any(|q| q.is.is_some());
        let envelope = bounded.then(|| Envelope::new(&tenant.quotas, bounds.quota_settles));
        let certain = envelope.as_ref().and_then(|e| worst(&of, e));
        let arrived: Vec<(Micros, Micros)> = of.iter().map(|(_, b)| (*b, *b)).collect();
        let by_arrival = envelope.as_ref().and_then(|e| worst(&arrived, e));
        let over = history.requests.iter().map(|r| r.ended).max().unwrap_or(history.begun);
        // What may be used for certain: no quota before its commit, and none while it settles.
        let made =
            bounded.then(|| Envelope::new(&tenant.quotas, 0)).map(|e| e.at(over).0 - e.at(history.begun).0);
        // Sums of rates are not exact; a request too many is a whole one.
        if let Some(worst) = certain.filter(|w| w.over > 1e-3) {
            verdict.violations.push(Violation::Quota { tenant: tenant.name.clone(), worst });
        }
        verdict.spent.push(Spent { tenant: tenant.name.clone(), ran: of.len(), made, certain, by_arrival });
    }
}

fn places(history: &History, bounds: &Bounds, verdict: &mut Verdict) {
    let mut outside: BTreeMap<(usize, usize), (usize, Micros)> = BTreeMap::new();
    for s in &history.statements {
        let Some(tenant) = history.tenants.get(s.tenant) else { continue };
        let site = &history.servers[s.server].site;
        let mut steps = in_force(&tenant.places, s.at, bounds.place_settles).peekable();
        let free = steps.peek().is_none();
        let inside = |sites: &crate::history::Sites| {
            let of = if s.write { &sites.writes } else { &sites.reads };
            of.as_ref().is_none_or(|named| named.contains(site))
        };
        if !free && !steps.any(inside) {
            let rule = tenant.places.iter().rev().find(|p| p.committed <= s.at).map_or(0, |p| p.committed);
            let found = outside.entry((s.tenant, s.server)).or_default();
            *found = (found.0 + 1, found.1.max(s.at - rule));
        }
    }
    for ((tenant, server), (statements, latest)) in outside {
        let (tenant, server) = (history.tenants[tenant].name.clone(), history.servers[server].name.clone());
        verdict.violations.push(Violation::Outside { tenant, server, statements, latest });
    }
}

fn answers(history: &History, verdict: &mut Verdict) {
    let (mut runs, mut writes): (HashMap<u64, usize>, BTreeMap<u64, usize>) = Default::default();
    for s in &history.statements {
        *runs.entry(s.id).or_default() += 1;
        if s.write {
            *writes.entry(s.id).or_default() += 1;
        }
    }
    let twice = writes.iter().filter(|(_, n)| **n > 1).map(|(id, n)| Violation::Twice { id: *id, times: *n });
    verdict.violations.extend(twice);
    let was_down = |r: &Request| {
        let during = |d: &&crate::history::Down| d.router == r.router && d.from <= r.ended && r.due <= d.to;
        history.downs.iter().any(|d| during(&d))
    };
    for r in &history.requests {
        let ran = runs.contains_key(&r.id);
        match r.outcome {
            Outcome::Served if !ran => verdict.violations.push(Violation::NeverRan { id: r.id }),
            Outcome::Refused if r.write && ran => {
                verdict.violations.push(Violation::RanRefused { id: r.id });
            }
            Outcome::Lost | Outcome::Unanswered if !was_down(r) => {
                let (id, router, outcome) = (r.id, r.router, r.outcome);
                verdict.violations.push(Violation::NoAnswer { id, router, outcome });
            }
            _ => {}
        }
    }
    let mut strays: BTreeMap<usize, usize> = BTreeMap::new();
    history.strays.iter().for_each(|(router, _)| *strays.entry(*router).or_default() += 1);
    verdict
        .violations
        .extend(strays.into_iter().map(|(router, answers)| Violation::Stray { router, answers }));
}

/// Throws this many reads at this many replicas: the most by the mean, and how many got none.
fn thrown(rng: &mut fastrand::Rng, reads: usize, replicas: usize) -> (f64, usize) {
    let mut of = vec![0usize; replicas];
    (0..reads).for_each(|_| of[rng.usize(0..replicas)] += 1);
    by_mean(&of)
}

fn by_mean(of: &[usize]) -> (f64, usize) {
    let mean = of.iter().sum::<usize>() as f64 / of.len() as f64;
    (of.iter().max().copied().unwrap_or(0) as f64 / mean, of.iter().filter(|n| **n == 0).count())
}

/// Times that chance is played for each window.
const THROWS: usize = 20;

fn spread(history: &History, bounds: &Bounds, verdict: &mut Verdict) {
    let mut groups: BTreeMap<u32, Vec<usize>> = BTreeMap::new();
    for (i, s) in history.servers.iter().enumerate().filter(|(_, s)| !s.primary) {
        groups.entry(s.group).or_default().push(i);
    }
    for (group, replicas) in groups {
        let place: HashMap<usize, usize> = replicas.iter().enumerate().map(|(n, s)| (*s, n)).collect();
        let mut windows: BTreeMap<Micros, Vec<usize>> = BTreeMap::new();
        for s in history.statements.iter().filter(|s| !s.write && s.at >= history.begun) {
            if let Some(n) = place.get(&s.server) {
                let of = windows.entry((s.at - history.begun) / bounds.window);
                of.or_insert_with(|| vec![0; replicas.len()])[*n] += 1;
            }
        }
        let full = |of: &&Vec<usize>| of.iter().sum::<usize>() >= 5 * replicas.len();
        let mut rng = fastrand::Rng::with_seed(u64::from(group) + 1);
        let mut found = Spread { group, replicas: replicas.len(), ..Spread::default() };
        for of in windows.values().filter(full) {
            let (ratio, idle) = by_mean(of);
            found.windows += 1;
            found.max_by_mean += ratio;
            found.worst = found.worst.max(ratio);
            found.idle += idle;
            for _ in 0..THROWS {
                let (ratio, idle) = thrown(&mut rng, of.iter().sum(), replicas.len());
                found.chance += ratio / THROWS as f64;
                found.chance_idle += idle as f64 / THROWS as f64;
            }
        }
        let n = found.windows.max(1) as f64;
        (found.max_by_mean, found.chance) = (found.max_by_mean / n, found.chance / n);
        verdict.spread.push(found);
    }
}

/// Checks a whole history; the same one gives the same verdict.
pub fn check(history: &History, bounds: &Bounds) -> Verdict {
    let mut verdict = Verdict::default();
    quotas(history, bounds, &mut verdict);
    places(history, bounds, &mut verdict);
    answers(history, &mut verdict);
    spread(history, bounds, &mut verdict);
    verdict
}
