//! Feeds legal random events, seeded, and checks the rules that hold for every sequence of them. It models no timing:
//! anything legal may come. The rule on overloading a cold member needs rates; its tests stand in `slow_start.rs`.
mod common;
use common::{GROUP, MS, TestRouter, entry, settings};
use decision::{
    Action, Event, Freshness, Idempotency, LaggingReplica, MemberId, MemberReport, MemberState, Micros,
    Outcome, Request, RequestId, SessionCommitSource, SessionId, Settings, Time,
};
use std::collections::BTreeMap;

/// Events drawn for each history, without those that follow from actions.
const STEPS: usize = 600;
/// A final answer may come this long after the deadline: a timer is that late at most.
const ANSWER_SLACK: Micros = 20 * MS;

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
    answered: bool,
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
    /// Members that are probed and have not answered yet.
    probes: Vec<u32>,
    /// Whether each member that was listed and not removed since takes work.
    ready: BTreeMap<u32, bool>,
    /// The last position that each member has reported.
    positions: BTreeMap<u32, Micros>,
    /// Stated to be primary by a response or a probe, and not denied by a response since.
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
                    let harmless = matches!(
                        idempotency,
                        Idempotency::Idempotent | Idempotency::DeduplicatedEverywhere(_)
                    );
                    let may_have_run = pending.may_have_run().next().is_some();
                    assert!(harmless || !may_have_run, "rejected though it may have run: {idempotency:?}");
                    self.answer(request.0);
                }
                Action::Fail { request } => self.answer(request.0),
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
        let in_time = |p: &PendingRequest| p.answered || now <= p.deadline + ANSWER_SLACK;
        assert!(self.pending.values().all(in_time), "no final answer in time");
    }

    fn answer(&mut self, id: u64) {
        let pending = self.pending.get_mut(&id).expect("an answered request is pending");
        assert!(!pending.answered, "two final answers");
        pending.answered = true;
    }

    fn check_send(&mut self, id: u64, member: u32, timeout: Micros, start_timeout: Micros) {
        let now = self.router.now;
        assert_eq!(self.ready.get(&member), Some(&true), "sent to a member that drains or is removed");
        let settings = &self.settings;
        let pending = self.pending.get_mut(&id).expect("a sent request is pending");
        let class = &settings.classes[pending.class];
        assert!(!pending.answered, "sent after the final answer");
        assert!(start_timeout <= timeout, "it may begin after it is given up");
        assert!(pending.attempts.len() < settings.max_attempts as usize, "too many attempts");
        let alone = pending.attempts.iter().all(|a| !a.in_flight);
        assert!(settings.hedging_allowed || alone, "two attempts in flight together");
        if let Some(first) = pending.may_have_run().map(|a| a.sent_at).min() {
            match class.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::DeduplicatedInGroup(window) | Idempotency::DeduplicatedEverywhere(window) => {
                    let in_window = now + start_timeout.max(1) < first + window;
                    assert!(in_window, "a repeat may begin after its window");
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
            assert!(needed.is_none_or(|n| position >= n), "a stale read: {:?}", class.freshness);
            if let Freshness::Bounded(bound) = class.freshness {
                let proven = now + start_timeout <= position + bound;
                assert!(proven, "a read may begin after the proof of its freshness has run out");
            }
        }
        let attempt = Attempt { member, sent_at: now, timeout, in_flight: true, may_have_run: false };
        pending.attempts.push(attempt);
    }

    fn list_members(&mut self) {
        let complete = self.rng.u8(..4) == 0 || self.ready.is_empty();
        let mut entries = vec![];
        for id in 0..8u32 {
            let stays = complete && self.ready.get(&id) == Some(&true);
            if !(stays || self.rng.bool()) {
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
            let named: Vec<u32> = entries.iter().map(|e| e.id.0).collect();
            self.ready.iter_mut().filter(|(id, _)| !named.contains(id)).for_each(|(_, ready)| *ready = false);
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
        let carried = self.rng.bool().then(|| now - self.rng.i64(1..600) * MS);
        let is_carried = self.settings.session_commit_source == SessionCommitSource::CarriedByRequest;
        let session_commit = if is_carried { carried } else { self.commits.get(&session).copied() };
        let id = self.router.next_request;
        self.router.next_request += 1;
        let pending = PendingRequest {
            class,
            arrived_at: now,
            deadline: now + timeout,
            session,
            session_commit,
            attempts: vec![],
            answered: false,
        };
        self.pending.insert(id, pending);
        self.handle(Event::RequestArrived(Request {
            id: RequestId(id),
            class,
            tenant: 0,
            session: Some(SessionId(session)),
            group: GROUP,
            deadline: Time(now + timeout),
            session_commit: carried.filter(|_| is_carried).map(Time),
        }));
    }

    fn end_attempt(&mut self, id: u64, attempt: usize, outcome: Outcome) {
        let now = self.router.now;
        let pending = self.pending.get_mut(&id).expect("a pending request");
        let served_write =
            self.settings.classes[pending.class].freshness == Freshness::Write && outcome == Outcome::Ok;
        let member = pending.attempts[attempt].member;
        pending.attempts[attempt].in_flight = false;
        pending.attempts[attempt].may_have_run = !outcome.never_ran();
        let request_ended = pending.answered || outcome == Outcome::Ok;
        pending.answered = request_ended;
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

    /// The attempts in flight for which this holds, by request and position.
    fn attempts_in_flight(&self, holds: impl Fn(&Attempt) -> bool) -> Vec<(u64, usize)> {
        let numbered = |(id, pending): (&u64, &PendingRequest)| {
            let positions = pending.attempts.iter().enumerate().filter(|(_, a)| a.in_flight && holds(a));
            positions.map(|(attempt, _)| (*id, attempt)).collect::<Vec<_>>()
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
        let waiting: Vec<u64> = self.pending.iter().filter(|(_, p)| !p.answered).map(|(id, _)| *id).collect();
        if waiting.is_empty() || self.rng.u8(..4) > 0 {
            return;
        }
        let id = waiting[self.rng.usize(..waiting.len())];
        self.answer(id);
        self.handle(Event::ClientDisconnected { request: RequestId(id) });
    }

    fn step(&mut self) {
        self.router.now += self.rng.i64(0..6) * MS;
        // Timeouts come due, then timers.
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
        self.pending.retain(|_, p| !p.answered || p.attempts.iter().any(|a| a.in_flight));
    }
}

#[test]
fn random_legal_events_keep_all_rules() {
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
                        // Few routers, many, and a number that is not known.
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
