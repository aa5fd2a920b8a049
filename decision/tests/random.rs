//! Feeds legal random events, seeded, and checks the rules. It models no timing: anything legal may come.
//! The rule of the cold member needs rates; its tests stand in failures.rs.
mod common;
use common::*;
use decision::*;
use std::collections::BTreeMap;

struct Open {
    class: usize,
    arrived: i64,
    deadline: i64,
    session: u64,
    session_commit: Option<i64>,
    /// Member, send time, time-out, still out, may have run.
    attempts: Vec<(u32, i64, i64, bool, bool)>,
    answered: bool,
}

struct World {
    b: Bench,
    s: Settings,
    rng: fastrand::Rng,
    open: BTreeMap<u64, Open>,
    probes: Vec<u32>,
    /// Listed state of each member, and what it last proved.
    ready: BTreeMap<u32, bool>,
    proven: BTreeMap<u32, i64>,
    /// Told to be primary by an answer or a probe, and not denied by an answer since.
    primary: BTreeMap<u32, bool>,
    timers: u32,
    commits: BTreeMap<u64, i64>,
}

impl World {
    fn new(s: Settings, seed: u64) -> Self {
        World {
            b: Bench { router: Router::new(s.clone(), seed), now: 50_000 * MS, next: 0 },
            s,
            rng: fastrand::Rng::with_seed(seed),
            open: BTreeMap::new(),
            probes: vec![],
            ready: BTreeMap::new(),
            proven: BTreeMap::new(),
            primary: BTreeMap::new(),
            timers: 0,
            commits: BTreeMap::new(),
        }
    }

    fn take(&mut self, actions: Vec<Action>) {
        let now = self.b.now;
        for a in actions {
            match a {
                Action::Send { request, member, timeout, start_timeout } => {
                    self.check_send(request.0, member.0, timeout, start_timeout);
                }
                Action::Reject { request, .. } => {
                    let o = self.open.get_mut(&request.0).expect("a refused request is open");
                    assert!(!o.answered, "two final answers");
                    let may = o.attempts.iter().any(|a| a.4 || a.3);
                    let idempotency = self.s.classes[o.class].idempotency;
                    let fine = matches!(
                        idempotency,
                        Idempotency::Idempotent | Idempotency::DeduplicatedEverywhere(_)
                    );
                    assert!(fine || !may, "refused though it may have run: {idempotency:?}");
                    o.answered = true;
                }
                Action::Fail { request } => {
                    let o = self.open.get_mut(&request.0).expect("a failed request is open");
                    assert!(!o.answered, "two final answers");
                    o.answered = true;
                }
                Action::Probe { member } => {
                    assert!(self.s.probing_allowed && self.ready.contains_key(&member.0));
                    self.probes.push(member.0);
                }
                Action::SetTimer { after } => {
                    assert!(after > 0);
                    self.timers += 1;
                }
                Action::Cancel { .. } => assert!(self.s.cancel_allowed),
                Action::Remove { member } => {
                    self.ready.remove(&member.0);
                }
                Action::Subscribe => {}
            }
        }
        assert!(
            self.open.values().all(|o| o.answered || now <= o.deadline + 20 * MS),
            "no final answer in time"
        );
    }

    fn check_send(&mut self, id: u64, member: u32, timeout: i64, start_timeout: i64) {
        let now = self.b.now;
        assert_eq!(self.ready.get(&member), Some(&true), "sent to a member that drains or is gone");
        let s = &self.s;
        let o = self.open.get_mut(&id).expect("a sent request is open");
        let class = &s.classes[o.class];
        assert!(!o.answered, "sent after the final answer");
        assert!(start_timeout <= timeout, "it may begin after it is given up");
        assert!(o.attempts.len() < s.max_attempts as usize, "too many attempts");
        assert!(s.hedging_allowed || o.attempts.iter().all(|a| !a.3), "two attempts out together");
        if let Some(first) = o.attempts.iter().filter(|a| a.4 || a.3).map(|a| a.1).min() {
            match class.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::DeduplicatedInGroup(w) | Idempotency::DeduplicatedEverywhere(w) => {
                    assert!(now + start_timeout.max(1) < first + w, "a repeat may begin after its window");
                }
                Idempotency::NotIdempotent | Idempotency::DeduplicatedInZone(_) => {
                    panic!("an idempotency may happen twice")
                }
            }
        }
        if s.lagging_replica == LaggingReplica::AnswersStale && self.primary.get(&member) != Some(&true) {
            let need = match class.freshness {
                Freshness::Latest => Some(o.arrived),
                Freshness::Bounded(b) => Some(now - b),
                Freshness::Session => o.session_commit,
                Freshness::Any | Freshness::Write => None,
            };
            let has = self.proven.get(&member).copied().unwrap_or(i64::MIN);
            assert!(need.is_none_or(|n| has >= n), "a stale read: {:?}", class.freshness);
            if let Freshness::Bounded(b) = class.freshness {
                assert!(
                    now + start_timeout <= has + b,
                    "a read may begin after the proof of its freshness has run out"
                );
            }
        }
        o.attempts.push((member, now, timeout, true, false));
    }

    fn list(&mut self) {
        let complete = self.rng.u8(..4) == 0 || self.ready.is_empty();
        let mut entries = vec![];
        for id in 0..8u32 {
            let stays = complete && self.ready.get(&id) == Some(&true);
            if !(stays || self.rng.bool()) {
                continue;
            }
            let mut e = entry(id);
            e.state = match self.rng.u8(..8) {
                0 => MemberState::Draining,
                1 if !complete => MemberState::Removed,
                _ => MemberState::Ready,
            };
            if !self.ready.contains_key(&id) && e.state == MemberState::Ready && self.rng.bool() {
                e.started_at = Some(Time(self.b.now));
            }
            e.listed_primary = self.rng.u8(..5) == 0;
            e.zone = id % 3;
            e.weight = [1.0, 0.0, 2.5, f64::NAN][self.rng.usize(..4)];
            entries.push(e);
        }
        if complete {
            let named: Vec<u32> = entries.iter().map(|e| e.id.0).collect();
            self.ready.iter_mut().filter(|(id, _)| !named.contains(id)).for_each(|(_, r)| *r = false);
        }
        for e in &entries {
            self.ready.insert(e.id.0, e.state == MemberState::Ready);
        }
        let out = self.b.event(Event::MemberListChanged { complete, entries });
        self.take(out);
    }

    fn ask(&mut self) {
        let class = self.rng.usize(..self.s.classes.len());
        let session = self.rng.u64(..4);
        let left = if self.rng.u8(..20) == 0 { 0 } else { self.rng.i64(50..1200) * MS };
        let now = self.b.now;
        let carried = self.rng.bool().then(|| now - self.rng.i64(1..600) * MS);
        let session_commit = match self.s.session_commit_source {
            SessionCommitSource::CarriedByRequest => carried,
            SessionCommitSource::RememberedByRouter => self.commits.get(&session).copied(),
        };
        let id = self.b.next;
        self.b.next += 1;
        let o = Open {
            class,
            arrived: now,
            deadline: now + left,
            session,
            session_commit,
            attempts: vec![],
            answered: false,
        };
        self.open.insert(id, o);
        let request = Request {
            id: RequestId(id),
            class,
            tenant: 0,
            session: Some(SessionId(session)),
            group: G,
            deadline: Time(now + left),
            session_commit: (self.s.session_commit_source == SessionCommitSource::CarriedByRequest)
                .then_some(carried.map(Time))
                .flatten(),
        };
        let out = self.b.event(Event::RequestArrived(request));
        self.take(out);
    }

    fn end_attempt(&mut self, id: u64, i: usize, outcome: Outcome) {
        let (now, write) = (self.b.now, self.s.classes[self.open[&id].class].freshness == Freshness::Write);
        let o = self.open.get_mut(&id).expect("known");
        let member = o.attempts[i].0;
        o.attempts[i].3 = false;
        o.attempts[i].4 = !outcome.never_ran();
        let ended = o.answered || outcome == Outcome::Ok;
        o.answered = ended;
        let speaks =
            matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::NotEligible | Outcome::Rejected);
        let primary =
            (write && outcome == Outcome::Ok) || (outcome != Outcome::NotEligible && self.rng.u8(..4) == 0);
        let response_report = MemberReport { primary: speaks.then_some(primary), position: None };
        let commit = (write && outcome == Outcome::Ok).then_some(Time(now));
        if speaks {
            self.primary.insert(member, primary);
        }
        if commit.is_some() {
            self.proven.insert(member, now);
            self.commits.insert(self.open[&id].session, now);
        }
        let out = self.b.noted(RequestId(id), i as u32, MemberId(member), outcome, response_report, commit);
        self.take(out);
    }

    fn step(&mut self) {
        self.b.now += self.rng.i64(0..6) * 1000;
        // Time-outs come due, then timers.
        let now = self.b.now;
        let due: Vec<(u64, usize)> = self
            .open
            .iter()
            .flat_map(|(id, o)| o.attempts.iter().enumerate().map(move |(i, a)| (*id, i, *a)))
            .filter(|(_, _, a)| a.3 && a.1 + a.2 <= now)
            .map(|(id, i, _)| (id, i))
            .collect();
        for (id, i) in due {
            self.end_attempt(id, i, Outcome::TimedOut);
        }
        if std::mem::take(&mut self.timers) > 0 {
            let out = self.b.event(Event::TimerExpired);
            self.take(out);
        }
        match self.rng.u8(..20) {
            0 => self.list(),
            1..=8 => self.ask(),
            9..=14 => {
                let out: Vec<(u64, usize)> = self
                    .open
                    .iter()
                    .flat_map(|(id, o)| o.attempts.iter().enumerate().map(move |(i, a)| (*id, i, a.3)))
                    .filter(|x| x.2)
                    .map(|x| (x.0, x.1))
                    .collect();
                if !out.is_empty() {
                    let (id, i) = out[self.rng.usize(..out.len())];
                    let all =
                        [Outcome::Ok, Outcome::Ok, Outcome::Error, Outcome::Rejected, Outcome::ConnectFailed];
                    let more = [
                        Outcome::Reset,
                        Outcome::Cancelled,
                        Outcome::NeverSent,
                        Outcome::NotEligible,
                        Outcome::Ok,
                    ];
                    let pick = self.rng.usize(..10);
                    let outcome = if pick < 5 { all[pick] } else { more[pick - 5] };
                    self.end_attempt(id, i, outcome);
                }
            }
            15..=18 if !self.probes.is_empty() => {
                let member = self.probes.swap_remove(self.rng.usize(..self.probes.len()));
                let ok = self.rng.u8(..5) > 0;
                let at = self.b.now - self.rng.i64(0..500) * MS;
                let primary = self.rng.u8(..4) == 0;
                let bare = self.rng.u8(..6) == 0;
                let report = if ok && !bare {
                    self.proven.entry(member).and_modify(|p| *p = (*p).max(at)).or_insert(at);
                    if primary {
                        self.primary.insert(member, true);
                    }
                    MemberReport { primary: Some(primary), position: Some(Time(at)) }
                } else {
                    MemberReport::default()
                };
                let outcome = if ok { Outcome::Ok } else { Outcome::TimedOut };
                let out = self.b.event(Event::ProbeEnded { member: MemberId(member), outcome, report });
                self.take(out);
            }
            _ => {
                let left: Vec<u64> =
                    self.open.iter().filter(|(_, o)| !o.answered).map(|(id, _)| *id).collect();
                if !left.is_empty() && self.rng.u8(..4) == 0 {
                    let id = left[self.rng.usize(..left.len())];
                    if let Some(o) = self.open.get_mut(&id) {
                        o.answered = true;
                    }
                    let out = self.b.event(Event::ClientDisconnected { request: RequestId(id) });
                    self.take(out);
                }
            }
        }
        self.open.retain(|_, o| !o.answered || o.attempts.iter().any(|a| a.3));
    }
}

#[test]
fn legal_random_events_keep_the_rules() {
    let effects = [
        Idempotency::Idempotent,
        Idempotency::NotIdempotent,
        Idempotency::DeduplicatedInGroup(300 * MS),
        Idempotency::DeduplicatedEverywhere(300 * MS),
        Idempotency::DeduplicatedInZone(300 * MS),
    ];
    let mut sent = 0;
    for idempotency in effects {
        for lagging_replica in
            [LaggingReplica::AnswersStale, LaggingReplica::Rejects, LaggingReplica::WaitsThenRejects(50 * MS)]
        {
            for session_commit_source in
                [SessionCommitSource::CarriedByRequest, SessionCommitSource::RememberedByRouter]
            {
                for hedging_allowed in [false, true] {
                    // Few drivers, many, and a number that was not told.
                    let router_count = [3, 500, 0][sent as usize % 3];
                    let s = Settings {
                        lagging_replica,
                        session_commit_source,
                        hedging_allowed,
                        router_count,
                        ..settings(idempotency)
                    };
                    let mut w = World::new(s, 1 + sent);
                    w.list();
                    (0..600).for_each(|_| w.step());
                    sent += w.b.next;
                }
            }
        }
    }
    assert!(sent > 5_000);
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut b = Bench::ready(settings(Idempotency::NotIdempotent));
        (0..50).map(|i| b.ask(i % 5, Some(100)).1).collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}
