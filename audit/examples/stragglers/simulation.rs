//! A fleet in simulated time: a leader with its tracker, and routers of which some straggle.
use crate::{MS, Summary};
use audit::{
    Action, Directive, EntryKind, Event, LeaderResponse, Settings, VersionFence, VersionReport,
    VersionTracker,
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
/// When the second version is set, in microseconds like all times here.
const CHANGE_AT: Micros = 5_000_000;
/// When routers in mode [`StragglerMode::Stopped`] stop.
const STOP_AT: Micros = CHANGE_AT - 50 * MS;
const END: Micros = 16_000_000;
/// A router may route for this long after the leader has fenced it out: the response is still in transit.
const FENCE_GRACE: Micros = 250 * MS;
/// Average number of exchanges between router and leader per failed exchange.
const EXCHANGES_PER_FAILURE: u64 = 100;

/// How the stragglers behave once the second version is set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum StragglerMode {
    /// Fetches of the document fail for 0.3 to 1.4 s.
    SlowFetch,
    /// Fetches of the document always fail.
    FailingFetch,
    /// The process stops shortly before the change, for 3 to 6 s, and then resumes.
    Stopped,
    /// The connection to the store is lost permanently, while clients still reach the router.
    Disconnected,
}

fn message_delay(random: &mut SplitMix64) -> Micros {
    200 + random.time_below(1800)
}

struct Router {
    fence: VersionFence,
    version: Version,
    /// Offset of the router's clock, on which ages and leases must not depend.
    clock_offset: Micros,
    /// The router is stopped from [`STOP_AT`] to this time.
    resumes_at: Micros,
    can_fetch_from: Micros,
    disconnected_at: Micros,
    /// When the router first routed a request under the second version.
    up_to_date_at: Option<Micros>,
    /// When the router was first fenced after the second version was set.
    fenced_at: Option<Micros>,
    /// Since when the leader knows the router as fenced out or silent.
    known_fenced_at: Option<Micros>,
}

impl Router {
    fn new(random: &mut SplitMix64, mode: Option<StragglerMode>) -> Router {
        let clock_offset = random.time_below(10_000_000) - 5_000_000;
        let mut router = Router {
            fence: VersionFence::new(ROUTER_LEASE),
            version: 0,
            clock_offset,
            resumes_at: 0,
            can_fetch_from: 0,
            disconnected_at: Micros::MAX,
            up_to_date_at: None,
            fenced_at: None,
            known_fenced_at: None,
        };
        match mode {
            Some(StragglerMode::SlowFetch) => {
                router.can_fetch_from = CHANGE_AT + 300 * MS + random.time_below(1_100_000);
            }
            Some(StragglerMode::FailingFetch) => router.can_fetch_from = Micros::MAX,
            Some(StragglerMode::Stopped) => {
                router.resumes_at = CHANGE_AT + 3000 * MS + random.time_below(3_000_000);
            }
            Some(StragglerMode::Disconnected) => {
                router.disconnected_at = CHANGE_AT - 100 * MS + random.time_below(100_000);
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

/// Periodic tasks of the simulation. Tasks that are due at the same time run in the order of the variants.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Task {
    Report(usize),
    Requests,
    LeaderTick,
}

pub(crate) struct Simulation {
    mode: StragglerMode,
    random: SplitMix64,
    tracker: VersionTracker,
    actions: Vec<Action>,
    current: Version,
    routers: Vec<Router>,
    tasks: BinaryHeap<Reverse<(Micros, Task)>>,
}

impl Simulation {
    pub(crate) fn new(seed: u64, mode: StragglerMode) -> Simulation {
        let mut simulation = Simulation {
            mode,
            random: SplitMix64::new(seed.wrapping_mul(77) + 1),
            tracker: VersionTracker::new(Settings::new(&AuditConfig::default(), LEASE, seed)),
            actions: Vec::new(),
            current: FIRST_VERSION,
            routers: Vec::new(),
            tasks: BinaryHeap::from([Reverse((0, Task::LeaderTick)), Reverse((1, Task::Requests))]),
        };
        simulation.handle(0, Event::LeadershipGained { term: 1, batches: Vec::new() });
        simulation.handle(0, Event::CurrentVersion { version: FIRST_VERSION });
        for i in 0..ROUTERS {
            let mode = (i < STRAGGLERS).then_some(mode);
            simulation.routers.push(Router::new(&mut simulation.random, mode));
            let phase = simulation.random.time_below(REPORT_INTERVAL);
            simulation.tasks.push(Reverse((phase, Task::Report(i))));
        }
        simulation
    }

    pub(crate) fn run(mut self, summary: &mut Summary) {
        while let Some(Reverse((now, task))) = self.tasks.pop() {
            if now > END {
                break;
            }
            if now >= CHANGE_AT {
                self.current = SECOND_VERSION;
            }
            let interval = match task {
                Task::LeaderTick => {
                    self.leader_tick(now);
                    TICK_INTERVAL
                }
                Task::Requests => {
                    self.route_requests(now, summary);
                    REQUEST_INTERVAL
                }
                Task::Report(i) => {
                    self.report(now, i);
                    REPORT_INTERVAL
                }
            };
            self.tasks.push(Reverse((now + interval, task)));
        }
        for router in &self.routers[..STRAGGLERS] {
            summarize(router, self.mode, summary);
        }
    }

    fn handle(&mut self, now: Micros, event: Event) {
        self.tracker.handle(Time(now), event, &mut self.actions);
    }

    /// Has the leader read the current version and check its timers; its writes complete at once.
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
                Action::LogEntry(_) | Action::Respond { .. } => {}
            }
        }
        for seq in written {
            self.handle(now, Event::WriteCompleted { seq, committed: true });
        }
    }

    /// Asks every router that has a version and is not stopped to route a request.
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

    /// Has a router report, and report again after it has fetched the current version.
    fn report(&mut self, now: Micros, i: usize) {
        let router = &self.routers[i];
        let cannot_report = router.is_stopped(now) || now >= router.disconnected_at;
        if cannot_report || self.random.below(EXCHANGES_PER_FAILURE) == 0 {
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
            // Every router has stored the first version on its disk.
            if self.current == SECOND_VERSION && at < router.can_fetch_from {
                break;
            }
            at += message_delay(&mut self.random);
            router.version = self.current;
            let clock = router.clock(at);
            router.fence.version_applied(clock, self.current);
        }
    }

    /// Exchanges one report and its response; returns when the response is received.
    fn exchange(&mut self, sent_at: Micros, i: usize) -> Micros {
        let router = &self.routers[i];
        let report_sent_at = router.clock(sent_at);
        let report = router.fence.report(report_sent_at, 1);
        let reported_version = router.version;
        let received_at = sent_at + message_delay(&mut self.random);
        let directive = self.leader_response(received_at, i, reported_version, report);
        let response_received_at = received_at + message_delay(&mut self.random);
        let router = &mut self.routers[i];
        let clock = router.clock(response_received_at);
        let current_version = self.current;
        let response = LeaderResponse { report_sent_at, reported_version, current_version, directive };
        router.fence.response_received(clock, &response);
        response_received_at
    }

    fn leader_response(
        &mut self,
        now: Micros,
        i: usize,
        version: Version,
        report: VersionReport,
    ) -> Directive {
        let router = i.to_string();
        self.handle(now, Event::ReportReceived { router, incarnation: 1, version, report, leaving: false });
        let mut response = Directive::AuditDisabled;
        for action in self.actions.drain(..) {
            match action {
                Action::Respond { directive, .. } => response = directive,
                Action::LogEntry(entry) if entry.kind == EntryKind::FencedOut => {
                    self.routers[i].known_fenced_at = Some(now);
                }
                Action::LogEntry(entry) if entry.kind == EntryKind::Acting => {
                    self.routers[i].known_fenced_at = None;
                }
                Action::LogEntry(_) | Action::WriteBatch(_) => {}
            }
        }
        response
    }
}

/// Adds a straggler to the summary: as up to date or as fenced, whichever happened first.
fn summarize(router: &Router, mode: StragglerMode, summary: &mut Summary) {
    match (router.up_to_date_at, router.fenced_at) {
        (Some(up_to_date_at), _) if mode == StragglerMode::Stopped => {
            // A stopped router cannot act, so its time counts from when it resumes.
            summary.up_to_date += 1;
            summary.handling_times.push(up_to_date_at - router.resumes_at);
        }
        (Some(up_to_date_at), fenced_at) if fenced_at.is_none_or(|at| up_to_date_at <= at) => {
            summary.up_to_date += 1;
            summary.handling_times.push(up_to_date_at - CHANGE_AT);
        }
        (_, Some(fenced_at)) => {
            let within_lease = fenced_at - CHANGE_AT < ROUTER_LEASE;
            if within_lease && matches!(mode, StragglerMode::FailingFetch | StragglerMode::SlowFetch) {
                summary.fenced_out += 1;
            } else {
                summary.lease_expired += 1;
            }
            summary.handling_times.push(fenced_at - CHANGE_AT);
        }
        (_, None) => summary.violations += 1,
    }
}
