//! A fleet in simulated time: one leader, its tracker, and routers of which some straggle.
use crate::{MS, Summary};
use audit::{
    Action, Directive, EntryKind, Event, LeaderAnswer, Settings, VersionFence, VersionReport, VersionTracker,
};
use decision::{Micros, Time};
use settings::fleet::{AuditConfig, Version};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use testkit::random::{Random, SplitMix64};

const ROUTERS: usize = 100;
const STRAGGLERS: usize = 5;
const LEASE: Micros = 2_000_000;
const ROUTER_LEASE: Micros = 1_960_000;
const REPORT_INTERVAL: Micros = 200 * MS;
const TICK_INTERVAL: Micros = 10 * MS;
const REQUEST_INTERVAL: Micros = 5 * MS;
const FIRST_VERSION: Version = 5;
const SECOND_VERSION: Version = 9;
/// When the second version is set.
const CHANGE_AT: Micros = 5_000_000;
/// When stopped routers stop.
const STOP_AT: Micros = CHANGE_AT - 50 * MS;
const END: Micros = 16_000_000;
/// A router may route for this long after the leader has fenced it out: the answer is on its way.
const FENCE_GRACE: Micros = 250 * MS;
/// One exchange in this many fails.
const EXCHANGES_PER_FAILURE: u64 = 100;

/// How the stragglers straggle once the second version is set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Straggling {
    /// Their fetches fail for 0.3 to 1.4 s.
    SlowFetch,
    /// Their fetches always fail.
    FailingFetch,
    /// They stop from a moment before the change for 3 to 6 s, and then resume.
    Stopped,
    /// They lose their connection to the store for good, while clients still reach them.
    Disconnected,
}

fn message_delay(random: &mut SplitMix64) -> Micros {
    200 + random.time_below(1800)
}

struct Router {
    fence: VersionFence,
    version: Version,
    /// Offset of its clock: ages and leases must not depend on it.
    clock_offset: Micros,
    /// It does nothing from [`STOP_AT`] to this time.
    resumes_at: Micros,
    fetches_from: Micros,
    disconnected_from: Micros,
    /// When it first routed by the second version.
    up_to_date_at: Option<Micros>,
    /// When it was first fenced after the second version was set.
    fenced_at: Option<Micros>,
    /// Since when the leader knows it as fenced out or silent.
    known_fenced_at: Option<Micros>,
}

impl Router {
    fn new(random: &mut SplitMix64, straggling: Option<Straggling>) -> Router {
        let clock_offset = random.time_below(10_000_000) - 5_000_000;
        let mut router = Router {
            fence: VersionFence::new(ROUTER_LEASE),
            version: 0,
            clock_offset,
            resumes_at: 0,
            fetches_from: 0,
            disconnected_from: Micros::MAX,
            up_to_date_at: None,
            fenced_at: None,
            known_fenced_at: None,
        };
        match straggling {
            Some(Straggling::SlowFetch) => {
                router.fetches_from = CHANGE_AT + 300 * MS + random.time_below(1_100_000);
            }
            Some(Straggling::FailingFetch) => router.fetches_from = Micros::MAX,
            Some(Straggling::Stopped) => {
                router.resumes_at = CHANGE_AT + 3000 * MS + random.time_below(3_000_000);
            }
            Some(Straggling::Disconnected) => {
                router.disconnected_from = CHANGE_AT - 100 * MS + random.time_below(100_000);
            }
            None => {}
        }
        router
    }

    fn clock(&self, now: Micros) -> Time {
        Time(now + self.clock_offset)
    }

    fn is_stopped(&self, now: Micros) -> bool {
        (STOP_AT..self.resumes_at).contains(&now)
    }
}

/// Whose turn it is. Of turns at one time, the one that stands first here comes first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Turn {
    Report(usize),
    Requests,
    LeaderTick,
}

pub(crate) struct Simulation {
    straggling: Straggling,
    random: SplitMix64,
    tracker: VersionTracker,
    actions: Vec<Action>,
    current: Version,
    routers: Vec<Router>,
    turns: BinaryHeap<Reverse<(Micros, Turn)>>,
}

impl Simulation {
    pub(crate) fn new(seed: u64, straggling: Straggling) -> Simulation {
        let mut simulation = Simulation {
            straggling,
            random: SplitMix64::new(seed.wrapping_mul(77) + 1),
            tracker: VersionTracker::new(Settings::new(&AuditConfig::default(), LEASE, seed)),
            actions: Vec::new(),
            current: FIRST_VERSION,
            routers: Vec::new(),
            turns: BinaryHeap::from([Reverse((0, Turn::LeaderTick)), Reverse((1, Turn::Requests))]),
        };
        simulation.handle(0, Event::LeadershipGained { term: 1, batches: Vec::new() });
        simulation.handle(0, Event::CurrentVersion { version: FIRST_VERSION });
        for i in 0..ROUTERS {
            let straggling = (i < STRAGGLERS).then_some(straggling);
            simulation.routers.push(Router::new(&mut simulation.random, straggling));
            let phase = simulation.random.time_below(REPORT_INTERVAL);
            simulation.turns.push(Reverse((phase, Turn::Report(i))));
        }
        simulation
    }

    pub(crate) fn run(mut self, summary: &mut Summary) {
        while let Some(Reverse((now, turn))) = self.turns.pop() {
            if now > END {
                break;
            }
            if now >= CHANGE_AT {
                self.current = SECOND_VERSION;
            }
            let interval = match turn {
                Turn::LeaderTick => {
                    self.leader_tick(now);
                    TICK_INTERVAL
                }
                Turn::Requests => {
                    self.route_requests(now, summary);
                    REQUEST_INTERVAL
                }
                Turn::Report(i) => {
                    self.report(now, i);
                    REPORT_INTERVAL
                }
            };
            self.turns.push(Reverse((now + interval, turn)));
        }
        for router in &self.routers[..STRAGGLERS] {
            summarize(router, self.straggling, summary);
        }
    }

    fn handle(&mut self, now: Micros, event: Event) {
        self.tracker.handle(Time(now), event, &mut self.actions);
    }

    /// The leader reads the current version and ticks; writes complete at once.
    fn leader_tick(&mut self, now: Micros) {
        self.handle(now, Event::CurrentVersion { version: self.current });
        self.handle(now, Event::Tick);
        let mut written = Vec::new();
        for action in self.actions.drain(..) {
            match action {
                Action::WriteBatch(batch) => written.push(batch.seq),
                Action::LogEntry(entry) if entry.kind == EntryKind::Silent => {
                    self.routers[entry.router.parse::<usize>().unwrap()].known_fenced_at = Some(now);
                }
                Action::LogEntry(_) | Action::Reply { .. } => {}
            }
        }
        for seq in written {
            self.handle(now, Event::WriteCompleted { seq, committed: true });
        }
    }

    /// Every router that has a version and is not stopped is asked to route a request.
    fn route_requests(&mut self, now: Micros, summary: &mut Summary) {
        for router in self.routers.iter_mut().filter(|router| router.version > 0 && !router.is_stopped(now)) {
            let clock = router.clock(now);
            match router.fence.check(clock) {
                Ok(version) => {
                    summary.routed += 1;
                    let must_be_fenced = router.known_fenced_at.is_some_and(|at| now > at + FENCE_GRACE);
                    summary.violations += usize::from(version != self.current && must_be_fenced);
                }
                Err(_) if now >= CHANGE_AT && router.up_to_date_at.is_none() => {
                    router.fenced_at.get_or_insert(now);
                }
                Err(_) => {}
            }
        }
    }

    /// A router reports, and reports once more after it has fetched the current version.
    fn report(&mut self, now: Micros, i: usize) {
        let router = &self.routers[i];
        let is_cut_off = router.is_stopped(now) || now >= router.disconnected_from;
        if is_cut_off || self.random.below(EXCHANGES_PER_FAILURE) == 0 {
            return;
        }
        let mut at = now;
        for _ in 0..2 {
            at = self.exchange(at, i);
            let router = &mut self.routers[i];
            let clock = router.clock(at);
            if router.version == self.current {
                if self.current == SECOND_VERSION
                    && router.up_to_date_at.is_none()
                    && router.fence.check(clock).is_ok()
                {
                    router.up_to_date_at = Some(at);
                }
                break;
            }
            // Every router has the first version on its disk.
            if self.current == SECOND_VERSION && at < router.fetches_from {
                break;
            }
            at += message_delay(&mut self.random);
            router.version = self.current;
            let clock = router.clock(at);
            router.fence.version_applied(clock, self.current);
        }
    }

    /// One report and its answer; returns when the answer has arrived.
    fn exchange(&mut self, sent_at: Micros, i: usize) -> Micros {
        let router = &self.routers[i];
        let report_sent_at = router.clock(sent_at);
        let report = router.fence.report(report_sent_at, 1);
        let reported_version = router.version;
        let received_at = sent_at + message_delay(&mut self.random);
        let directive = self.leader_answer(received_at, i, reported_version, report);
        let answered_at = received_at + message_delay(&mut self.random);
        let router = &mut self.routers[i];
        let clock = router.clock(answered_at);
        let current_version = self.current;
        let answer = LeaderAnswer { report_sent_at, reported_version, current_version, directive };
        router.fence.answer_received(clock, &answer);
        answered_at
    }

    fn leader_answer(&mut self, now: Micros, i: usize, version: Version, report: VersionReport) -> Directive {
        let router = i.to_string();
        self.handle(now, Event::ReportReceived { router, incarnation: 1, version, report, leaving: false });
        let mut answer = Directive::AuditDisabled;
        for action in self.actions.drain(..) {
            match action {
                Action::Reply { directive, .. } => answer = directive,
                Action::LogEntry(entry) if entry.kind == EntryKind::FencedOut => {
                    self.routers[i].known_fenced_at = Some(now);
                }
                Action::LogEntry(entry) if entry.kind == EntryKind::Acting => {
                    self.routers[i].known_fenced_at = None;
                }
                Action::LogEntry(_) | Action::WriteBatch(_) => {}
            }
        }
        answer
    }
}

/// What came first for a straggler: it served by the current version, or by none.
fn summarize(router: &Router, straggling: Straggling, summary: &mut Summary) {
    match (router.up_to_date_at, router.fenced_at) {
        (Some(up_to_date_at), _) if straggling == Straggling::Stopped => {
            // It does nothing while it is stopped: its time counts from when it resumes.
            summary.up_to_date += 1;
            summary.handling_times.push(up_to_date_at - router.resumes_at);
        }
        (Some(up_to_date_at), fenced_at) if fenced_at.is_none_or(|at| up_to_date_at <= at) => {
            summary.up_to_date += 1;
            summary.handling_times.push(up_to_date_at - CHANGE_AT);
        }
        (_, Some(fenced_at)) => {
            let within_lease = fenced_at - CHANGE_AT < ROUTER_LEASE;
            if within_lease && matches!(straggling, Straggling::FailingFetch | Straggling::SlowFetch) {
                summary.fenced_out += 1;
            } else {
                summary.lease_expired += 1;
            }
            summary.handling_times.push(fenced_at - CHANGE_AT);
        }
        (_, None) => summary.violations += 1,
    }
}
