//! Feeds the same event sequence to two routers. The second one has settings with the classes in another
//! order, other zone numbers, or all times multiplied by one factor. Both must take the same actions.
//!
//! This detects times in the code that do not follow from settings. Some such times remain: the design
//! document leaves the duration of ejections and the probe interval to the code, and others are only bounds.
//! The tests with longer times avoid their effects: an ejection lasts 1 to 8 s (`BASE_EJECTION`), a late
//! response counts for the duration of the longest ejection, probes of one member are at least 100 ms apart
//! (`MIN_INTERVAL` of probes, although with event intervals of 5 ms or more the interval follows from these),
//! and a timer takes at least 2 ms.
mod common;
use common::{GROUP, MS, entry};
use decision::{
    Action, Class, Event, Freshness, Idempotency, LaggingReplica, MemberEntry, MemberId, MemberReport,
    MemberState, Micros, Outcome, Request, RequestId, Router, SessionCommitSource, SessionId, Settings, Time,
};
use std::collections::BTreeMap;

const PRIMARY: u32 = 2;
const MEMBERS: u32 = 5;
const HISTORIES: u64 = 12;
const STEPS: usize = 400;

/// How the second router's environment differs. Times are multiplied by a power of two, which leaves the
/// digits of floating-point numbers unchanged.
struct SecondEnvironment {
    time_factor: Micros,
    /// The index of each class in the second router's settings.
    classes: Vec<usize>,
    /// The number of each zone for the second router.
    zones: Vec<u32>,
}

impl SecondEnvironment {
    fn time(&self, time: Time) -> Time {
        Time(time.0 * self.time_factor)
    }

    fn report(&self, report: MemberReport) -> MemberReport {
        MemberReport { position: report.position.map(|t| self.time(t)), ..report }
    }

    fn settings(&self, s: &Settings) -> Settings {
        let factor = self.time_factor;
        let class = |c: &Class| Class {
            freshness: match c.freshness {
                Freshness::Bounded(b) => Freshness::Bounded(b * factor),
                other => other,
            },
            idempotency: match c.idempotency {
                Idempotency::DeduplicatedInGroup(w) => Idempotency::DeduplicatedInGroup(w * factor),
                Idempotency::DeduplicatedEverywhere(w) => Idempotency::DeduplicatedEverywhere(w * factor),
                Idempotency::DeduplicatedInZone(w) => Idempotency::DeduplicatedInZone(w * factor),
                other => other,
            },
            latency_objective: c.latency_objective * factor,
            deadline: c.deadline * factor,
            ..c.clone()
        };
        let origin =
            |at: usize| self.classes.iter().position(|to| *to == at).expect("an index for each class");
        Settings {
            classes: (0..s.classes.len()).map(|at| class(&s.classes[origin(at)])).collect(),
            zone: self.zones[s.zone as usize],
            min_event_interval: s.min_event_interval * factor,
            lagging_replica: match s.lagging_replica {
                LaggingReplica::WaitsThenRejects(w) => LaggingReplica::WaitsThenRejects(w * factor),
                other => other,
            },
            max_retry_after: s.max_retry_after.map(|m| m * factor),
            connect_timeout: s.connect_timeout * factor,
            drain_grace: s.drain_grace * factor,
            slow_start_duration: s.slow_start_duration * factor,
            overload_duration: s.overload_duration * factor,
            ..s.clone()
        }
    }

    fn event(&self, event: &Event) -> Event {
        let mut event = event.clone();
        match &mut event {
            Event::MemberListChanged { entries, .. } => {
                for entry in entries {
                    entry.zone = self.zones[entry.zone as usize];
                    entry.started_at = entry.started_at.map(|t| self.time(t));
                }
            }
            Event::RequestArrived(request) => {
                request.class = self.classes[request.class];
                request.deadline = self.time(request.deadline);
                request.session_commit = request.session_commit.map(|t| self.time(t));
            }
            Event::AttemptEnded { response_report, commit, load_report, .. } => {
                *response_report = self.report(*response_report);
                *commit = commit.map(|t| self.time(t));
                *load_report = self.report(*load_report);
            }
            Event::ProbeEnded { report, .. } => *report = self.report(*report),
            Event::DeadlineShortened { deadline, .. } => *deadline = self.time(*deadline),
            Event::SessionCommitted { commit: time, .. } | Event::SessionsCommitted { until: time } => {
                *time = self.time(*time);
            }
            Event::ListUpdateFailed
            | Event::RouterCountChanged(_)
            | Event::ResponseStarted { .. }
            | Event::ClientDisconnected { .. }
            | Event::TimerExpired => {}
        }
        event
    }

    fn action(&self, action: &Action) -> Action {
        match action.clone() {
            Action::Send { request, member, timeout, start_timeout } => {
                let (timeout, start_timeout) = (timeout * self.time_factor, start_timeout * self.time_factor);
                Action::Send { request, member, timeout, start_timeout }
            }
            Action::Reject { request, retry_after } => {
                Action::Reject { request, retry_after: retry_after.map(|m| m * self.time_factor) }
            }
            Action::SetTimer { after } => Action::SetTimer { after: after * self.time_factor },
            other => other,
        }
    }
}

/// An attempt in flight and the time at which it ends.
struct PendingAttempt {
    request: RequestId,
    class: usize,
    member: u32,
    attempt: u32,
    ends_at: Micros,
}

/// A probe in flight and the time at which it ends.
struct PendingProbe {
    member: u32,
    ends_at: Micros,
}

/// Both routers, and five simulated members that respond to the actions of the first router.
struct World {
    second_environment: SecondEnvironment,
    settings: Settings,
    first: Router,
    second: Router,
    rng: fastrand::Rng,
    now: Micros,
    next_request: u64,
    attempts: Vec<PendingAttempt>,
    /// The class of each request, and the number of its attempts so far.
    requests: BTreeMap<RequestId, (usize, u32)>,
    probes: Vec<PendingProbe>,
    timer: Option<Micros>,
    /// Whether members and the network may fail.
    faults: bool,
    sent: usize,
    rejected: usize,
}

impl World {
    fn new(settings: Settings, second_environment: SecondEnvironment, seed: u64, faults: bool) -> World {
        World {
            first: Router::new(settings.clone(), seed),
            second: Router::new(second_environment.settings(&settings), seed),
            second_environment,
            settings,
            rng: fastrand::Rng::with_seed(seed ^ 0x5eed),
            now: 50_000 * MS,
            next_request: 0,
            attempts: vec![],
            requests: BTreeMap::new(),
            probes: vec![],
            timer: None,
            faults,
            sent: 0,
            rejected: 0,
        }
    }

    /// Feeds an event to both routers and compares their actions.
    fn handle(&mut self, event: Event) {
        let (mut actions, mut second_actions) = (Vec::new(), Vec::new());
        let (time, second_event) =
            (self.second_environment.time(Time(self.now)), self.second_environment.event(&event));
        self.second.handle(time, second_event, &mut second_actions);
        self.first.handle(Time(self.now), event.clone(), &mut actions);
        let expected: Vec<Action> = actions.iter().map(|a| self.second_environment.action(a)).collect();
        assert_eq!(second_actions, expected, "actions differ at {} after {event:?}", self.now);
        actions.into_iter().for_each(|action| self.execute(action));
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { request, member, .. } => {
                let (class, attempts) = self.requests.get_mut(&request).expect("a request that arrived");
                let (class, member, attempt) = (*class, member.0, *attempts);
                *attempts += 1;
                self.sent += 1;
                // Shorter than the latency objective of any class, so that no response is late.
                let ends_at = self.now + self.rng.i64(2..30) * MS;
                self.attempts.push(PendingAttempt { request, class, member, attempt, ends_at });
            }
            Action::Reject { .. } | Action::Fail { .. } => self.rejected += 1,
            Action::Probe { member } => {
                let ends_at = self.now + self.rng.i64(1..20) * MS;
                self.probes.push(PendingProbe { member: member.0, ends_at });
            }
            Action::SetTimer { after } => self.timer = Some(self.now + after),
            Action::Cancel { .. } | Action::Subscribe | Action::Remove { .. } => {}
        }
    }

    fn entry(&mut self, id: u32) -> MemberEntry {
        let draining = id != PRIMARY && self.rng.u8(..8) == 0;
        let cold = self.rng.u8(..4) == 0;
        MemberEntry {
            zone: id % 3,
            state: if draining { MemberState::Draining } else { MemberState::Ready },
            listed_primary: id == PRIMARY,
            weight: f64::from(1 + id % 2),
            started_at: cold.then_some(Time(self.now - 3000 * MS)),
            ..entry(id)
        }
    }

    /// What a member reports of itself: a replica lags slightly, and occasionally by 700 ms.
    fn report(&mut self, member: u32) -> MemberReport {
        let lag_ms = if self.rng.u8(..6) == 0 { 700 } else { self.rng.i64(0..40) };
        let lag = if member == PRIMARY { 0 } else { lag_ms * MS };
        MemberReport { primary: Some(member == PRIMARY), position: Some(Time(self.now - lag)) }
    }

    fn end_probe(&mut self, member: u32) {
        let failed = self.faults && self.rng.u8(..10) == 0;
        let outcome = if failed { Outcome::ConnectFailed } else { Outcome::Ok };
        let report = if failed { MemberReport::default() } else { self.report(member) };
        self.handle(Event::ProbeEnded { member: MemberId(member), outcome, report });
    }

    fn end_attempt(&mut self, ended: &PendingAttempt) {
        let is_write = self.settings.classes[ended.class].freshness == Freshness::Write;
        let is_primary = ended.member == PRIMARY;
        let faults =
            [Outcome::Error, Outcome::Reset, Outcome::ConnectFailed, Outcome::TimedOut, Outcome::Rejected];
        let outcome = match self.rng.u8(..16) {
            _ if is_write && !is_primary => Outcome::NotEligible,
            0 if !is_write && !is_primary => Outcome::NotEligible,
            1..4 if self.faults => faults[self.rng.usize(..faults.len())],
            _ => Outcome::Ok,
        };
        let report = self.report(ended.member);
        let ok = outcome == Outcome::Ok;
        let has_report = matches!(outcome, Outcome::Ok | Outcome::NotEligible);
        self.handle(Event::AttemptEnded {
            request: ended.request,
            attempt: ended.attempt,
            member: MemberId(ended.member),
            outcome,
            request_ended: ok,
            response_report: if has_report { report } else { MemberReport::default() },
            commit: (ok && is_write).then_some(Time(self.now)),
            load_report: MemberReport::default(),
        });
    }

    fn request(&mut self) {
        let class = self.rng.usize(..self.settings.classes.len());
        let share = if self.rng.u8(..3) == 0 { 2 } else { 1 };
        let deadline = Time(self.now + self.settings.classes[class].deadline / share);
        let session_commit = self.rng.bool().then_some(Time(self.now - self.rng.i64(0..300) * MS));
        let id = RequestId(self.next_request);
        self.next_request += 1;
        self.requests.insert(id, (class, 0));
        let session = Some(SessionId(self.rng.u64(..20)));
        let request = Request {
            id,
            class,
            tenant: 0,
            session,
            group: GROUP,
            deadline,
            session_commit,
            may_run_partially: false,
        };
        self.handle(Event::RequestArrived(request));
    }

    /// Ends attempts, probes and timers that are due, then feeds one random event.
    fn step(&mut self) {
        self.now += self.rng.i64(1..12) * MS;
        while let Some(at) = self.probes.iter().position(|p| p.ends_at <= self.now) {
            let ended = self.probes.swap_remove(at);
            self.end_probe(ended.member);
        }
        while let Some(at) = self.attempts.iter().position(|a| a.ends_at <= self.now) {
            let ended = self.attempts.swap_remove(at);
            self.end_attempt(&ended);
        }
        if self.timer.is_some_and(|at| at <= self.now) {
            self.timer = None;
            self.handle(Event::TimerExpired);
        }
        match self.rng.u8(..40) {
            0 => {
                let entries = (0..MEMBERS).map(|id| self.entry(id)).collect();
                let complete = self.rng.bool();
                self.handle(Event::MemberListChanged { complete, entries });
            }
            1 => {
                let request = RequestId(self.rng.u64(..self.next_request.max(1)));
                self.handle(Event::ClientDisconnected { request });
            }
            2 => {
                let count = 1 + self.rng.u32(..4);
                self.handle(Event::RouterCountChanged(count));
            }
            _ => self.request(),
        }
    }
}

fn settings(rng: &mut fastrand::Rng) -> Settings {
    let freshness = [
        Freshness::Write,
        Freshness::Session,
        Freshness::Any,
        Freshness::Bounded(400 * MS),
        Freshness::Latest,
    ];
    let idempotencies = common::idempotencies([900 * MS, 1500 * MS, 700 * MS]);
    let mut class = |n: usize| {
        let latency_objective = 80 * rng.i64(3..20) * MS;
        Class {
            freshness: freshness[n % freshness.len()],
            idempotency: idempotencies[rng.usize(..idempotencies.len())],
            latency_objective,
            deadline: 2 * latency_objective,
            priority_weight: f64::from(rng.u32(1..9)),
            late_weight_share: f64::from(rng.u32(0..4)) / 4.0,
        }
    };
    let classes = (0..8).map(&mut class).collect();
    let lagging_replicas =
        [LaggingReplica::AnswersStale, LaggingReplica::Rejects, LaggingReplica::WaitsThenRejects(20 * MS)];
    Settings {
        classes,
        router_count: 1 + rng.u32(..4),
        zone: rng.u32(..3),
        lagging_replica: lagging_replicas[rng.usize(..3)],
        session_commit_source: if rng.bool() {
            SessionCommitSource::CarriedByRequest
        } else {
            SessionCommitSource::RememberedByRouter
        },
        max_attempts: 1 + rng.u32(2..6),
        max_retry_after: rng.bool().then_some(1000 * MS),
        connect_timeout: 200 * MS,
        missing_members_may_serve: rng.bool(),
        slow_start_duration: 16_000 * MS,
        list_requires_subscription: rng.bool(),
        ..common::settings(Idempotency::NotIdempotent)
    }
}

/// The numbers of attempts sent and requests rejected by the first router, over all histories.
struct Totals {
    sent: usize,
    rejected: usize,
}

fn run_histories(
    faults: bool,
    second_environment_of: impl Fn(&mut fastrand::Rng, &Settings) -> SecondEnvironment,
) -> Totals {
    let mut totals = Totals { sent: 0, rejected: 0 };
    for seed in 0..HISTORIES {
        let mut rng = fastrand::Rng::with_seed(seed);
        let settings = settings(&mut rng);
        let second_environment = second_environment_of(&mut rng, &settings);
        let mut world = World::new(settings, second_environment, seed, faults);
        let entries = (0..MEMBERS).map(|id| world.entry(id)).collect();
        world.handle(Event::MemberListChanged { complete: true, entries });
        (0..STEPS).for_each(|_| world.step());
        totals.sent += world.sent;
        totals.rejected += world.rejected;
    }
    totals
}

/// A second environment that equals the first.
fn identical_environment(settings: &Settings) -> SecondEnvironment {
    SecondEnvironment { time_factor: 1, classes: (0..settings.classes.len()).collect(), zones: vec![0, 1, 2] }
}

#[test]
fn class_order_and_zone_numbers_change_no_action() {
    let totals = run_histories(true, |rng, settings| {
        let mut second_environment = identical_environment(settings);
        rng.shuffle(&mut second_environment.classes);
        second_environment.zones = vec![5, 900, 0];
        rng.shuffle(&mut second_environment.zones);
        second_environment
    });
    let Totals { sent, rejected } = totals;
    assert!(sent > 1000 && rejected > 20, "{sent} attempts sent, {rejected} requests rejected");
}

#[test]
fn longer_times_change_only_times_of_actions() {
    for time_factor in [2, 4, 64] {
        let totals = run_histories(false, |_, settings| SecondEnvironment {
            time_factor,
            ..identical_environment(settings)
        });
        assert!(totals.sent > 1000, "{} attempts sent", totals.sent);
    }
}
