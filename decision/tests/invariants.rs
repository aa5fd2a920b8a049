//! Feeds seeded random sequences of valid events and checks the rules that hold for every sequence. Timing is
//! not modelled: any valid event may happen at any time. The limit on the load of a cold member depends on
//! rates and is tested in `slow_start.rs`.
mod common;
use common::{GROUP, MS, TestRouter, entry, settings};
use decision::{
    Action, Event, Freshness, Idempotency, LaggingReplica, MemberId, MemberReport, MemberState, Micros,
    Outcome, Request, RequestId, SessionCommitSource, SessionId, Settings, Time,
};
use std::collections::BTreeMap;

/// Events drawn per history, not counting events that result from actions.
const STEPS: usize = 600;
/// How long after the deadline a final response may be given, because timers may expire this late.
const RESPONSE_SLACK: Micros = 20 * MS;

#[derive(Clone, Copy)]
struct Attempt {
    member: u32,
    sent_at: Micros,
    timeout: Micros,
    in_flight: bool,
    may_have_run: bool,
}

struct PendingRequest {
    class: usize,
    arrived_at: Micros,
    deadline: Micros,
    session: u64,
    session_commit: Option<Micros>,
    attempts: Vec<Attempt>,
    finished: bool,
}

impl PendingRequest {
    fn may_have_run(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|a| a.may_have_run || a.in_flight)
    }
}

struct World {
    router: TestRouter,
    settings: Settings,
    rng: fastrand::Rng,
    pending: BTreeMap<u64, PendingRequest>,
    /// Members with a probe in flight.
    probes: Vec<u32>,
    /// Members that were listed and not removed since, and whether each accepts work.
    ready: BTreeMap<u32, bool>,
    /// The newest position that each member has reported.
    positions: BTreeMap<u32, Micros>,
    /// Whether each member counts as primary: a response or a probe stated it, and no later response denied
    /// it.
    primary: BTreeMap<u32, bool>,
    timers: u32,
    /// The newest commit of each session.
    commits: BTreeMap<u64, Micros>,
}

impl World {
    fn new(settings: Settings, seed: u64) -> Self {
        let mut router = TestRouter::with_seed(settings.clone(), seed);
        router.now = 50_000 * MS;
        World {
            router,
            settings,
            rng: fastrand::Rng::with_seed(seed),
            pending: BTreeMap::new(),
            probes: vec![],
            ready: BTreeMap::new(),
            positions: BTreeMap::new(),
            primary: BTreeMap::new(),
            timers: 0,
            commits: BTreeMap::new(),
        }
    }

    fn handle(&mut self, event: Event) {
        for action in self.router.handle(event) {
            match action {
                Action::Send { request, member, timeout, start_timeout } => {
                    self.check_send(request.0, member.0, timeout, start_timeout);
                }
                Action::Reject { request, .. } => {
                    let pending = &self.pending[&request.0];
                    let idempotency = self.settings.classes[pending.class].idempotency;
                    let safe_to_retry = matches!(
                        idempotency,
                        Idempotency::Idempotent | Idempotency::DeduplicatedEverywhere(_)
                    );
                    let may_have_run = pending.may_have_run().next().is_some();
                    assert!(
                        safe_to_retry || !may_have_run,
                        "a request was rejected although an attempt may have run: {idempotency:?}"
                    );
                    self.finish(request.0);
                }
                Action::Fail { request } => self.finish(request.0),
                Action::Probe { member } => {
                    assert!(self.settings.probing_allowed && self.ready.contains_key(&member.0));
                    self.probes.push(member.0);
                }
                Action::SetTimer { after } => {
                    assert!(after > 0);
                    self.timers += 1;
                }
                Action::Cancel { .. } => assert!(self.settings.cancel_allowed),
                Action::Remove { member } => _ = self.ready.remove(&member.0),
                Action::Subscribe => {}
            }
        }
        let now = self.router.now;
        let in_time = |p: &PendingRequest| p.finished || now <= p.deadline + RESPONSE_SLACK;
        assert!(self.pending.values().all(in_time), "a request got no final response in time");
    }

    fn finish(&mut self, id: u64) {
        let pending = self.pending.get_mut(&id).expect("a finished request is pending");
        assert!(!pending.finished, "a request got two final responses");
        pending.finished = true;
    }

    fn check_send(&mut self, id: u64, member: u32, timeout: Micros, start_timeout: Micros) {
        let now = self.router.now;
        assert_eq!(
            self.ready.get(&member),
            Some(&true),
            "an attempt was sent to a draining or removed member"
        );
        let settings = &self.settings;
        let pending = self.pending.get_mut(&id).expect("a sent request is pending");
        let class = &settings.classes[pending.class];
        assert!(!pending.finished, "an attempt was sent after the final response");
        assert!(start_timeout <= timeout, "an attempt may start after its timeout");
        assert!(pending.attempts.len() < settings.max_attempts as usize, "too many attempts");
        let none_in_flight = pending.attempts.iter().all(|a| !a.in_flight);
        assert!(settings.hedging_allowed || none_in_flight, "two attempts in flight at the same time");
        if let Some(first) = pending.may_have_run().map(|a| a.sent_at).min() {
            match class.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::DeduplicatedInGroup(window) | Idempotency::DeduplicatedEverywhere(window) => {
                    let in_window = now + start_timeout.max(1) < first + window;
                    assert!(in_window, "a retry may start after the deduplication window");
                }
                Idempotency::NotIdempotent | Idempotency::DeduplicatedInZone(_) => {
                    panic!("a write may take effect twice")
                }
            }
        }
        let is_primary = self.primary.get(&member) == Some(&true);
        if settings.lagging_replica == LaggingReplica::AnswersStale && !is_primary {
            let needed = match class.freshness {
                Freshness::Latest => Some(pending.arrived_at),
                Freshness::Bounded(bound) => Some(now - bound),
                Freshness::Session => pending.session_commit,
                Freshness::Any | Freshness::Write => None,
            };
            let position = self.positions.get(&member).copied().unwrap_or(Micros::MIN);
            assert!(
                needed.is_none_or(|n| position >= n),
                "a read from a stale replica: {:?}",
                class.freshness
            );
            if let Freshness::Bounded(bound) = class.freshness {
                let proven = now + start_timeout <= position + bound;
                assert!(proven, "a read may start after its proof of freshness has expired");
            }
        }
        let attempt = Attempt { member, sent_at: now, timeout, in_flight: true, may_have_run: false };
        pending.attempts.push(attempt);
    }

    fn list_members(&mut self) {
        let complete = self.rng.u8(..4) == 0 || self.ready.is_empty();
        let mut entries = vec![];
        for id in 0..8u32 {
            let must_stay_listed = complete && self.ready.get(&id) == Some(&true);
            if !(must_stay_listed || self.rng.bool()) {
                continue;
            }
            let mut entry = entry(id);
            entry.state = match self.rng.u8(..8) {
                0 => MemberState::Draining,
                1 if !complete => MemberState::Removed,
                _ => MemberState::Ready,
            };
            let known = self.ready.contains_key(&id);
            if !known && entry.state == MemberState::Ready && self.rng.bool() {
                entry.started_at = Some(Time(self.router.now));
            }
            entry.listed_primary = self.rng.u8(..5) == 0;
            entry.zone = id % 3;
            entry.weight = [1.0, 0.0, 2.5, f64::NAN][self.rng.usize(..4)];
            entries.push(entry);
        }
        if complete {
            let listed_ids: Vec<u32> = entries.iter().map(|e| e.id.0).collect();
            self.ready
                .iter_mut()
                .filter(|(id, _)| !listed_ids.contains(id))
                .for_each(|(_, ready)| *ready = false);
        }
        for entry in &entries {
            self.ready.insert(entry.id.0, entry.state == MemberState::Ready);
        }
        self.handle(Event::MemberListChanged { complete, entries });
    }

    fn request(&mut self) {
        let class = self.rng.usize(..self.settings.classes.len());
        let session = self.rng.u64(..4);
        let timeout = if self.rng.u8(..20) == 0 { 0 } else { self.rng.i64(50..1200) * MS };
        let now = self.router.now;
        let carried_commit = self.rng.bool().then(|| now - self.rng.i64(1..600) * MS);
        let requests_carry_commit =
            self.settings.session_commit_source == SessionCommitSource::CarriedByRequest;
        let session_commit =
            if requests_carry_commit { carried_commit } else { self.commits.get(&session).copied() };
        let id = self.router.next_request;
        self.router.next_request += 1;
        let pending = PendingRequest {
            class,
            arrived_at: now,
            deadline: now + timeout,
            session,
            session_commit,
            attempts: vec![],
            finished: false,
        };
        self.pending.insert(id, pending);
        self.handle(Event::RequestArrived(Request {
            id: RequestId(id),
            class,
            tenant: 0,
            session: Some(SessionId(session)),
            group: GROUP,
            deadline: Time(now + timeout),
            session_commit: carried_commit.filter(|_| requests_carry_commit).map(Time),
            may_run_partially: false,
        }));
    }

    fn end_attempt(&mut self, id: u64, attempt: usize, outcome: Outcome) {
        let now = self.router.now;
        let pending = self.pending.get_mut(&id).expect("the request of an attempt is pending");
        let served_write =
            self.settings.classes[pending.class].freshness == Freshness::Write && outcome == Outcome::Ok;
        let member = pending.attempts[attempt].member;
        pending.attempts[attempt].in_flight = false;
        pending.attempts[attempt].may_have_run = !outcome.never_ran();
        let request_ended = pending.finished || outcome == Outcome::Ok;
        pending.finished = request_ended;
        let session = pending.session;
        let responded =
            matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::NotEligible | Outcome::Rejected);
        let primary = served_write || (outcome != Outcome::NotEligible && self.rng.u8(..4) == 0);
        if responded {
            self.primary.insert(member, primary);
        }
        if served_write {
            self.positions.insert(member, now);
            self.commits.insert(session, now);
        }
        self.handle(Event::AttemptEnded {
            request: RequestId(id),
            attempt: attempt as u32,
            member: MemberId(member),
            outcome,
            request_ended: outcome == Outcome::Ok,
            response_report: MemberReport { primary: responded.then_some(primary), position: None },
            commit: served_write.then_some(Time(now)),
            load_report: MemberReport::default(),
        });
    }

    /// The attempts in flight that satisfy a condition, as pairs of request and index of the attempt.
    fn attempts_in_flight(&self, condition: impl Fn(&Attempt) -> bool) -> Vec<(u64, usize)> {
        let numbered = |(id, pending): (&u64, &PendingRequest)| {
            let indices = pending.attempts.iter().enumerate().filter(|(_, a)| a.in_flight && condition(a));
            indices.map(|(attempt, _)| (*id, attempt)).collect::<Vec<_>>()
        };
        self.pending.iter().flat_map(numbered).collect()
    }

    fn end_some_attempt(&mut self) {
        let in_flight = self.attempts_in_flight(|_| true);
        if in_flight.is_empty() {
            return;
        }
        let (id, attempt) = in_flight[self.rng.usize(..in_flight.len())];
        let outcomes = [
            Outcome::Ok,
            Outcome::Ok,
            Outcome::Error,
            Outcome::Rejected,
            Outcome::ConnectFailed,
            Outcome::Reset,
            Outcome::Cancelled,
            Outcome::NeverSent,
            Outcome::NotEligible,
            Outcome::Ok,
        ];
        let outcome = outcomes[self.rng.usize(..outcomes.len())];
        self.end_attempt(id, attempt, outcome);
    }

    fn end_some_probe(&mut self) {
        let member = self.probes.swap_remove(self.rng.usize(..self.probes.len()));
        let ok = self.rng.u8(..5) > 0;
        let position = self.router.now - self.rng.i64(0..500) * MS;
        let primary = self.rng.u8(..4) == 0;
        let without_report = self.rng.u8(..6) == 0;
        let mut report = MemberReport::default();
        if ok && !without_report {
            let newest = self.positions.entry(member).or_insert(position);
            *newest = position.max(*newest);
            if primary {
                self.primary.insert(member, true);
            }
            report = MemberReport { primary: Some(primary), position: Some(Time(position)) };
        }
        let outcome = if ok { Outcome::Ok } else { Outcome::TimedOut };
        self.handle(Event::ProbeEnded { member: MemberId(member), outcome, report });
    }

    fn disconnect_some_client(&mut self) {
        let waiting: Vec<u64> = self.pending.iter().filter(|(_, p)| !p.finished).map(|(id, _)| *id).collect();
        if waiting.is_empty() || self.rng.u8(..4) > 0 {
            return;
        }
        let id = waiting[self.rng.usize(..waiting.len())];
        self.finish(id);
        self.handle(Event::ClientDisconnected { request: RequestId(id) });
    }

    fn step(&mut self) {
        self.router.now += self.rng.i64(0..6) * MS;
        // Ends attempts whose timeout has expired, then fires timers.
        let now = self.router.now;
        for (id, attempt) in self.attempts_in_flight(|a| a.sent_at + a.timeout <= now) {
            self.end_attempt(id, attempt, Outcome::TimedOut);
        }
        if std::mem::take(&mut self.timers) > 0 {
            self.handle(Event::TimerExpired);
        }
        match self.rng.u8(..20) {
            0 => self.list_members(),
            1..=8 => self.request(),
            9..=14 => self.end_some_attempt(),
            15..=18 if !self.probes.is_empty() => self.end_some_probe(),
            _ => self.disconnect_some_client(),
        }
        self.pending.retain(|_, p| !p.finished || p.attempts.iter().any(|a| a.in_flight));
    }
}

#[test]
fn invariants_hold_under_random_valid_events() {
    let idempotencies = common::idempotencies([300 * MS; 3]);
    let lagging_replicas =
        [LaggingReplica::AnswersStale, LaggingReplica::Rejects, LaggingReplica::WaitsThenRejects(50 * MS)];
    let sources = [SessionCommitSource::CarriedByRequest, SessionCommitSource::RememberedByRouter];
    let mut requests = 0;
    for idempotency in idempotencies {
        for lagging_replica in lagging_replicas {
            for session_commit_source in sources {
                for hedging_allowed in [false, true] {
                    let settings = Settings {
                        lagging_replica,
                        session_commit_source,
                        hedging_allowed,
                        // Few routers, many routers, and an unknown number.
                        router_count: [3, 500, 0][requests as usize % 3],
                        ..settings(idempotency)
                    };
                    let mut world = World::new(settings, 1 + requests);
                    world.list_members();
                    (0..STEPS).for_each(|_| world.step());
                    requests += world.router.next_request;
                }
            }
        }
    }
    assert!(requests > 5_000);
}

#[test]
fn same_events_give_same_actions() {
    let run = || {
        let mut router = TestRouter::ready(settings(Idempotency::NotIdempotent));
        (0..50).map(|i| router.request(i % 5, Some(100)).1).collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}
