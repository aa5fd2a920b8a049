//! Two routers are fed the same history: the second one under settings whose classes stand in another order, whose
//! zones have other numbers, or all of whose times are longer by one factor. It must do the same.
//!
//! Times that follow from no setting would show here. Those that remain are the design page's ("ban time, probe timing"
//! are left open there) or only bound others, and the histories with longer times keep out of their way: a ban lasts
//! 1 to 8 s (`BAN`), a late answer counts for the longest ban's time, probes of one member lie 100 ms apart at least
//! (`PROBE_GAP`; with rounds of 5 ms or more it is the rounds that count), and a timer takes 2 ms at least.
use decision::*;
use std::collections::BTreeMap;

const MS: i64 = 1000;
const G: GroupId = GroupId(7);

/// How the second router's world differs. Its times are longer by a power of two, which changes no digit of a
/// floating-point number.
struct Other {
    times: i64,
    /// Where each class stands there.
    classes: Vec<usize>,
    /// The number of each zone there.
    zones: Vec<u32>,
}

impl Other {
    fn time(&self, t: Time) -> Time {
        Time(t.0 * self.times)
    }

    fn report(&self, r: MemberReport) -> MemberReport {
        MemberReport { position: r.position.map(|t| self.time(t)), ..r }
    }

    fn settings(&self, s: &Settings) -> Settings {
        let k = self.times;
        let class = |c: &Class| Class {
            freshness: match c.freshness {
                Freshness::Bounded(b) => Freshness::Bounded(b * k),
                other => other,
            },
            idempotency: match c.idempotency {
                Idempotency::DeduplicatedInGroup(w) => Idempotency::DeduplicatedInGroup(w * k),
                Idempotency::DeduplicatedEverywhere(w) => Idempotency::DeduplicatedEverywhere(w * k),
                Idempotency::DeduplicatedInZone(w) => Idempotency::DeduplicatedInZone(w * k),
                other => other,
            },
            latency_objective: c.latency_objective * k,
            deadline: c.deadline * k,
            ..c.clone()
        };
        let place = |at: usize| self.classes.iter().position(|to| *to == at).expect("a place for each");
        Settings {
            classes: (0..s.classes.len()).map(|at| class(&s.classes[place(at)])).collect(),
            zone: self.zones[s.zone as usize],
            min_event_interval: s.min_event_interval * k,
            lagging_replica: match s.lagging_replica {
                LaggingReplica::WaitsThenRejects(w) => LaggingReplica::WaitsThenRejects(w * k),
                other => other,
            },
            max_retry_after: s.max_retry_after.map(|m| m * k),
            connect_timeout: s.connect_timeout * k,
            drain_grace: s.drain_grace * k,
            slow_start_duration: s.slow_start_duration * k,
            overload_duration: s.overload_duration * k,
            ..s.clone()
        }
    }

    fn event(&self, event: &Event) -> Event {
        match event.clone() {
            Event::MemberListChanged { complete, entries } => {
                let entry = |e: MemberEntry| MemberEntry {
                    zone: self.zones[e.zone as usize],
                    started_at: e.started_at.map(|t| self.time(t)),
                    ..e
                };
                Event::MemberListChanged { complete, entries: entries.into_iter().map(entry).collect() }
            }
            Event::RequestArrived(r) => Event::RequestArrived(Request {
                class: self.classes[r.class],
                deadline: self.time(r.deadline),
                session_commit: r.session_commit.map(|t| self.time(t)),
                ..r
            }),
            Event::AttemptEnded {
                request,
                attempt,
                member,
                outcome,
                request_ended,
                response_report,
                commit,
                load_report,
            } => {
                let (response_report, load_report) = (self.report(response_report), self.report(load_report));
                let commit = commit.map(|t| self.time(t));
                Event::AttemptEnded {
                    request,
                    attempt,
                    member,
                    outcome,
                    request_ended,
                    response_report,
                    commit,
                    load_report,
                }
            }
            Event::ProbeEnded { member, outcome, report } => {
                Event::ProbeEnded { member, outcome, report: self.report(report) }
            }
            other => other,
        }
    }

    fn action(&self, action: &Action) -> Action {
        match action.clone() {
            Action::Send { request, member, timeout, start_timeout } => {
                let (timeout, start_timeout) = (timeout * self.times, start_timeout * self.times);
                Action::Send { request, member, timeout, start_timeout }
            }
            Action::Reject { request, retry_after } => {
                Action::Reject { request, retry_after: retry_after.map(|m| m * self.times) }
            }
            Action::SetTimer { after } => Action::SetTimer { after: after * self.times },
            other => other,
        }
    }
}

struct Out {
    class: usize,
    member: u32,
    attempt: u32,
    done: i64,
}

/// Both routers, and a world of five instances that answers what the first one does.
struct World {
    other: Other,
    settings: Settings,
    first: Router,
    second: Router,
    rng: fastrand::Rng,
    now: i64,
    next: u64,
    out: Vec<(u64, Out)>,
    sent: BTreeMap<u64, (usize, u32)>,
    probes: Vec<(u32, i64)>,
    timer: Option<i64>,
    /// Instances may fail, and the network may.
    rough: bool,
    sends: usize,
    refusals: usize,
}

const PRIMARY: u32 = 2;

impl World {
    fn new(settings: Settings, other: Other, seed: u64, rough: bool) -> World {
        let (first, second) =
            (Router::new(settings.clone(), seed), Router::new(other.settings(&settings), seed));
        let (out, sent, probes, timer) = (vec![], BTreeMap::new(), vec![], None);
        let rng = fastrand::Rng::with_seed(seed ^ 0x5eed);
        let (now, next, sends, refusals) = (50_000 * MS, 0, 0, 0);
        World {
            other,
            settings,
            first,
            second,
            rng,
            now,
            next,
            out,
            sent,
            probes,
            timer,
            rough,
            sends,
            refusals,
        }
    }

    fn event(&mut self, event: Event) {
        let (mut done, mut also) = (Vec::new(), Vec::new());
        self.second.handle(self.other.time(Time(self.now)), self.other.event(&event), &mut also);
        self.first.handle(Time(self.now), event.clone(), &mut done);
        let expected: Vec<Action> = done.iter().map(|a| self.other.action(a)).collect();
        assert_eq!(also, expected, "at {} after {event:?}", self.now);
        for action in done {
            match action {
                Action::Send { request, member, .. } => {
                    let (class, attempts) = self.sent.get_mut(&request.0).expect("a request");
                    let (class, attempt) = (*class, *attempts);
                    *attempts += 1;
                    self.sends += 1;
                    // Well within the time of any class, so that no answer is late.
                    let done = self.now + self.rng.i64(2..30) * MS;
                    self.out.push((request.0, Out { class, member: member.0, attempt, done }));
                }
                Action::Reject { .. } | Action::Fail { .. } => self.refusals += 1,
                Action::Probe { member } => self.probes.push((member.0, self.now + self.rng.i64(1..20) * MS)),
                Action::SetTimer { after } => self.timer = Some(self.now + after),
                Action::Cancel { .. } | Action::Subscribe | Action::Remove { .. } => {}
            }
        }
    }

    fn entry(&mut self, id: u32) -> MemberEntry {
        let draining = id != PRIMARY && self.rng.u8(..8) == 0;
        let cold = self.rng.u8(..4) == 0;
        MemberEntry {
            id: MemberId(id),
            group: G,
            zone: id % 3,
            state: if draining { MemberState::Draining } else { MemberState::Ready },
            listed_primary: id == PRIMARY,
            weight: f64::from(1 + id % 2),
            started_at: cold.then_some(Time(self.now - 3000 * MS)),
        }
    }

    /// What an instance says of itself: a replica lags a little, now and then far.
    fn said(&mut self, member: u32) -> MemberReport {
        let lag = if self.rng.u8(..6) == 0 { 700 } else { self.rng.i64(0..40) };
        let behind = if member == PRIMARY { 0 } else { lag * MS };
        MemberReport { primary: Some(member == PRIMARY), position: Some(Time(self.now - behind)) }
    }

    fn step(&mut self) {
        self.now += self.rng.i64(1..12) * MS;
        while let Some(at) = self.probes.iter().position(|p| p.1 <= self.now) {
            let (member, _) = self.probes.swap_remove(at);
            let failed = self.rough && self.rng.u8(..10) == 0;
            let outcome = if failed { Outcome::ConnectFailed } else { Outcome::Ok };
            let report = if failed { MemberReport::default() } else { self.said(member) };
            self.event(Event::ProbeEnded { member: MemberId(member), outcome, report });
        }
        while let Some(at) = self.out.iter().position(|o| o.1.done <= self.now) {
            let (request, Out { class, member, attempt, .. }) = self.out.swap_remove(at);
            let write = self.settings.classes[class].freshness == Freshness::Write;
            let rough = [
                Outcome::Error,
                Outcome::Reset,
                Outcome::ConnectFailed,
                Outcome::TimedOut,
                Outcome::Rejected,
            ];
            let outcome = match self.rng.u8(..16) {
                _ if write && member != PRIMARY => Outcome::NotEligible,
                0 if !write && member != PRIMARY => Outcome::NotEligible,
                1..4 if self.rough => rough[self.rng.usize(..rough.len())],
                _ => Outcome::Ok,
            };
            let response_report = self.said(member);
            let ok = outcome == Outcome::Ok;
            let commit = (ok && write).then_some(Time(self.now));
            let (response_report, load_report) = match outcome {
                Outcome::Ok | Outcome::NotEligible => (response_report, MemberReport::default()),
                _ => (MemberReport::default(), MemberReport::default()),
            };
            self.event(Event::AttemptEnded {
                request: RequestId(request),
                attempt,
                member: MemberId(member),
                outcome,
                request_ended: ok,
                response_report,
                commit,
                load_report,
            });
        }
        if self.timer.is_some_and(|at| at <= self.now) {
            self.timer = None;
            self.event(Event::TimerExpired);
        }
        match self.rng.u8(..40) {
            0 => {
                let (entries, complete) = ((0..5).map(|id| self.entry(id)).collect(), self.rng.bool());
                self.event(Event::MemberListChanged { complete, entries });
            }
            1 => {
                let request = RequestId(self.rng.u64(..self.next.max(1)));
                self.event(Event::ClientDisconnected { request });
            }
            2 => {
                let router_count = 1 + self.rng.u32(..4);
                self.event(Event::RouterCountChanged(router_count));
            }
            _ => {
                let class = self.rng.usize(..self.settings.classes.len());
                let share = if self.rng.u8(..3) == 0 { 2 } else { 1 };
                let deadline = Time(self.now + self.settings.classes[class].deadline / share);
                let session_commit = (self.rng.bool()).then_some(Time(self.now - self.rng.i64(0..300) * MS));
                self.sent.insert(self.next, (class, 0));
                let session = Some(SessionId(self.rng.u64(..20)));
                let id = RequestId(self.next);
                self.next += 1;
                self.event(Event::RequestArrived(Request {
                    id,
                    class,
                    tenant: 0,
                    session,
                    group: G,
                    deadline,
                    session_commit,
                }));
            }
        }
    }
}

fn settings(rng: &mut fastrand::Rng) -> Settings {
    let fresh = [
        Freshness::Write,
        Freshness::Session,
        Freshness::Any,
        Freshness::Bounded(400 * MS),
        Freshness::Latest,
    ];
    let effects = [
        Idempotency::Idempotent,
        Idempotency::NotIdempotent,
        Idempotency::DeduplicatedInGroup(900 * MS),
        Idempotency::DeduplicatedEverywhere(1500 * MS),
        Idempotency::DeduplicatedInZone(700 * MS),
    ];
    let mut class = |n: usize| {
        let latency_objective = 80 * rng.i64(3..20) * MS;
        Class {
            freshness: fresh[n % fresh.len()],
            idempotency: effects[rng.usize(..effects.len())],
            latency_objective,
            deadline: 2 * latency_objective,
            priority_weight: f64::from(rng.u32(1..9)),
            late_weight_share: f64::from(rng.u32(0..4)) / 4.0,
        }
    };
    let classes = (0..8).map(&mut class).collect();
    let behind =
        [LaggingReplica::AnswersStale, LaggingReplica::Rejects, LaggingReplica::WaitsThenRejects(20 * MS)];
    Settings {
        classes,
        tenant_rates: vec![],
        over_quota_weight: 1.0,
        router_count: 1 + rng.u32(..4),
        zone: rng.u32(..3),
        min_event_interval: 5 * MS,
        lagging_replica: behind[rng.usize(..3)],
        session_commit_source: if rng.bool() {
            SessionCommitSource::CarriedByRequest
        } else {
            SessionCommitSource::RememberedByRouter
        },
        hedging_allowed: false,
        max_attempts: 1 + rng.u32(2..6),
        cancel_allowed: true,
        probing_allowed: true,
        probe_cost: 0.02,
        max_retry_after: rng.bool().then_some(1000 * MS),
        connect_timeout: 200 * MS,
        drain_grace: 500 * MS,
        missing_members_may_serve: rng.bool(),
        slow_start_initial_share: 0.2,
        slow_start_duration: 16_000 * MS,
        overload_factor: 3.0,
        overload_duration: 2000 * MS,
        list_requires_subscription: rng.bool(),
    }
}

/// Plays histories; how much was sent and refused in all of them.
fn play(rough: bool, other: impl Fn(&mut fastrand::Rng, &Settings) -> Other) -> (usize, usize) {
    let mut all = (0, 0);
    for seed in 0..12 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let settings = settings(&mut rng);
        let other = other(&mut rng, &settings);
        let mut world = World::new(settings, other, seed, rough);
        let entries = (0..5).map(|id| world.entry(id)).collect();
        world.event(Event::MemberListChanged { complete: true, entries });
        (0..400).for_each(|_| world.step());
        all = (all.0 + world.sends, all.1 + world.refusals);
    }
    all
}

fn as_they_are(s: &Settings) -> Other {
    Other { times: 1, classes: (0..s.classes.len()).collect(), zones: vec![0, 1, 2] }
}

#[test]
fn the_order_of_classes_and_the_numbers_of_zones_change_nothing() {
    let (sends, refusals) = play(true, |rng, s| {
        let mut other = as_they_are(s);
        rng.shuffle(&mut other.classes);
        other.zones = vec![5, 900, 0];
        rng.shuffle(&mut other.zones);
        other
    });
    assert!(sends > 1000 && refusals > 20, "{sends} sent, {refusals} refused");
}

#[test]
fn longer_times_of_all_settings_and_events_change_nothing_but_the_length_of_what_is_done() {
    for times in [2, 4, 64] {
        let (sends, _) = play(false, |_, s| Other { times, ..as_they_are(s) });
        assert!(sends > 1000, "{sends} sent");
    }
}
