//! A simulated environment of one router: members, clients and a network, driven by a seed.
use crate::common::{self, MS};
use crate::text::{action_text, event_text};
use decision::{
    Action, Class, Event, Freshness, GroupId, Idempotency, LaggingReplica, MemberEntry, MemberId,
    MemberReport, MemberState, Micros, Outcome, Request, RequestId, Router, SessionCommitSource, SessionId,
    Settings, Time,
};
use std::collections::BTreeMap;
use std::fmt::Write as _;

/// How a member treats requests.
#[derive(Clone, Copy, PartialEq)]
enum Health {
    Healthy,
    /// Serves requests, but late.
    Slow,
    RefusesConnections,
    /// Connection attempts time out.
    Unreachable,
    Hangs,
    ReturnsErrors,
    AtCapacity,
}

/// What a history consists of.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Mix {
    Ordinary,
    /// Connections are often reset, and clients have many different timeouts.
    Resets,
    /// Most requests are writes with a session of their own, and no fault lasts long.
    Sessions,
}

struct Member {
    id: u32,
    group: u32,
    primary: bool,
    lag: Micros,
    health: Health,
    started_at: Option<Time>,
}

/// An attempt or a probe in flight, with the event that will end it.
struct Pending {
    ends_at: Micros,
    event: Event,
}

pub(crate) struct World {
    settings: Settings,
    router: Router,
    rng: fastrand::Rng,
    now: Micros,
    members: Vec<Member>,
    pending: Vec<Pending>,
    timer: Option<Micros>,
    next_request: u64,
    /// Class, group and number of attempts of each request.
    requests: BTreeMap<u64, (usize, u32, u32)>,
    sessions: u64,
    mix: Mix,
    /// The text of all events and actions so far.
    pub(crate) text: String,
    pub(crate) counts: BTreeMap<&'static str, usize>,
}

fn pick<T: Copy>(rng: &mut fastrand::Rng, from: &[T]) -> T {
    from[rng.usize(..from.len())]
}

fn draw_settings(rng: &mut fastrand::Rng) -> Settings {
    let freshness = [
        Freshness::Write,
        Freshness::Latest,
        Freshness::Session,
        Freshness::Bounded(300 * MS),
        Freshness::Any,
    ];
    let idempotencies = common::idempotencies([400 * MS, 700 * MS, 500 * MS]);
    let classes = (0..7)
        .map(|n| Class {
            freshness: freshness[n % freshness.len()],
            idempotency: pick(rng, &idempotencies),
            latency_objective: rng.i64(60..500) * MS,
            deadline: rng.i64(500..2000) * MS,
            priority_weight: f64::from(rng.u32(1..9)),
            late_weight_share: f64::from(rng.u32(0..4)) / 4.0,
        })
        .collect();
    Settings {
        classes,
        router_count: pick(rng, &[0, 1, 3, 8, 300]),
        zone: rng.u32(..3),
        min_event_interval: pick(rng, &[0, 1, 5, 10]) * MS,
        lagging_replica: pick(
            rng,
            &[
                LaggingReplica::AnswersStale,
                LaggingReplica::Rejects,
                LaggingReplica::WaitsThenRejects(20 * MS),
            ],
        ),
        session_commit_source: pick(
            rng,
            &[SessionCommitSource::CarriedByRequest, SessionCommitSource::RememberedByRouter],
        ),
        hedging_allowed: rng.bool(),
        max_attempts: rng.u32(1..7),
        cancel_allowed: rng.bool(),
        probing_allowed: rng.u8(..6) > 0,
        max_retry_after: rng.bool().then_some(200 * MS),
        connect_timeout: pick(rng, &[100, 250]) * MS,
        missing_members_may_serve: rng.bool(),
        slow_start_initial_share: pick(rng, &[0.15, 0.3, 1.0]),
        slow_start_duration: pick(rng, &[0, 4_000, 18_000]) * MS,
        overload_factor: pick(rng, &[1.5, 2.5, 3.0]),
        overload_duration: pick(rng, &[500, 1000, 3000]) * MS,
        list_requires_subscription: rng.bool(),
        ..common::settings(Idempotency::NotIdempotent)
    }
}

impl World {
    fn new(seed: u64, sessions: u64, mix: Mix) -> World {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut settings = draw_settings(&mut rng);
        if mix == Mix::Sessions {
            (settings.session_commit_source, settings.router_count) =
                (SessionCommitSource::RememberedByRouter, 1);
        }
        let member = |id: u32| Member {
            id,
            group: u32::from(id >= 5),
            primary: id == 0 || id == 5,
            lag: i64::from(id % 5) * 20 * MS,
            health: Health::Healthy,
            started_at: None,
        };
        World {
            router: Router::new(settings.clone(), seed),
            settings,
            rng,
            now: 50_000 * MS,
            members: (0..8).map(member).collect(),
            pending: vec![],
            timer: None,
            next_request: 0,
            requests: BTreeMap::new(),
            sessions,
            mix,
            text: String::new(),
            counts: BTreeMap::new(),
        }
    }

    pub(crate) fn run(seed: u64, steps: usize, sessions: u64, mix: Mix) -> World {
        let mut world = World::new(seed, sessions, mix);
        world.list_members(true);
        (0..steps).for_each(|_| world.step());
        world
    }

    fn count(&mut self, name: &'static str) {
        *self.counts.entry(name).or_default() += 1;
    }

    fn handle(&mut self, event: Event) {
        self.count("events");
        let line = event_text(&event);
        let mut actions = Vec::new();
        self.router.handle(Time(self.now), event, &mut actions);
        let unavailable = self.router.unavailable_member_count();
        writeln!(self.text, "{} {line} unavailable={unavailable}", self.now)
            .expect("writing to a string succeeds");
        for action in actions {
            writeln!(self.text, "    {}", action_text(&action)).expect("writing to a string succeeds");
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { request, member, timeout, .. } => {
                self.count("sends");
                self.begin_attempt(request, member, timeout);
            }
            Action::Cancel { .. } => self.count("cancels"),
            Action::Reject { .. } => self.count("rejects"),
            Action::Fail { .. } => self.count("fails"),
            Action::Probe { member } => {
                self.count("probes");
                self.begin_probe(member);
            }
            Action::SetTimer { after } => {
                self.count("timers");
                self.timer = Some(self.now + after);
            }
            Action::Subscribe => self.count("subscriptions"),
            Action::Remove { .. } => self.count("removals"),
        }
    }

    fn member(&self, id: MemberId) -> Option<&Member> {
        self.members.iter().find(|s| s.id == id.0)
    }

    /// What a member reports of itself.
    fn report(&mut self, id: MemberId) -> MemberReport {
        let (now, without_report) = (self.now, self.rng.u8(..12) == 0);
        match self.member(id) {
            Some(s) if !without_report => MemberReport {
                primary: Some(s.primary),
                position: Some(Time(now - if s.primary { 0 } else { s.lag })),
            },
            _ => MemberReport::default(),
        }
    }

    /// Determines the outcome of an attempt and the time of its end.
    fn begin_attempt(&mut self, request: RequestId, member: MemberId, timeout: Micros) {
        let (class, group, attempts) = self.requests.get_mut(&request.0).expect("a request that was sent");
        let (class, group, attempt) = (*class, *group, *attempts);
        self.requests.insert(request.0, (class, group, attempt + 1));
        let freshness = self.settings.classes[class].freshness;
        let checks = self.settings.lagging_replica != LaggingReplica::AnswersStale;
        let (health, primary, lag) =
            self.member(member).map_or((Health::Unreachable, false, 0), |s| (s.health, s.primary, s.lag));
        let stale = match freshness {
            Freshness::Write | Freshness::Latest => !primary,
            Freshness::Bounded(bound) => checks && !primary && lag > bound,
            Freshness::Session => checks && !primary && lag > 100 * MS,
            Freshness::Any => false,
        };
        let short = self.rng.i64(1..30) * MS;
        let (delay, outcome) = match health {
            // A faulty request that causes an error at every member.
            _ if request.0 % 61 == 7 => (short, Outcome::Error),
            Health::Hangs => (timeout, Outcome::TimedOut),
            Health::RefusesConnections => (MS, Outcome::ConnectFailed),
            Health::Unreachable => (self.settings.connect_timeout, Outcome::ConnectFailed),
            Health::ReturnsErrors => (short, Outcome::Error),
            Health::AtCapacity => (short, Outcome::Rejected),
            Health::Healthy | Health::Slow if stale => (short, Outcome::NotEligible),
            Health::Slow => (self.rng.i64(50..600) * MS, Outcome::Ok),
            Health::Healthy if self.mix == Mix::Resets && self.rng.u8(..10) < 7 => (short, Outcome::Reset),
            Health::Healthy => match self.rng.u8(..60) {
                0 => (short, Outcome::Reset),
                1 => (short, Outcome::Cancelled),
                2 => (short, Outcome::NeverSent),
                3 => (short, Outcome::Error),
                4 => (short, Outcome::Rejected),
                _ => (short, Outcome::Ok),
            },
        };
        let (delay, outcome) = if delay < timeout { (delay, outcome) } else { (timeout, Outcome::TimedOut) };
        let responds =
            matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected | Outcome::NotEligible);
        let response_report = if responds { self.report(member) } else { MemberReport::default() };
        let load_report =
            if responds && self.rng.u8(..4) == 0 { self.report(member) } else { MemberReport::default() };
        let ok = outcome == Outcome::Ok;
        let commit = (ok && freshness == Freshness::Write).then_some(Time(self.now + delay));
        let request_ended = ok || outcome == Outcome::Error && self.rng.u8(..20) == 0;
        let event = Event::AttemptEnded {
            request,
            attempt,
            member,
            outcome,
            request_ended,
            response_report,
            commit,
            load_report,
        };
        self.pending.push(Pending { ends_at: self.now + delay, event });
    }

    fn begin_probe(&mut self, member: MemberId) {
        let short = self.rng.i64(1..20) * MS;
        let (delay, outcome) = match self.member(member).map_or(Health::Unreachable, |s| s.health) {
            Health::RefusesConnections => (MS, Outcome::ConnectFailed),
            Health::Unreachable => (self.settings.connect_timeout, Outcome::ConnectFailed),
            Health::Hangs => (250 * MS, Outcome::TimedOut),
            Health::ReturnsErrors if self.rng.bool() => (short, Outcome::Error),
            _ => (short, Outcome::Ok),
        };
        let report = if outcome == Outcome::Ok { self.report(member) } else { MemberReport::default() };
        self.pending.push(Pending {
            ends_at: self.now + delay,
            event: Event::ProbeEnded { member, outcome, report },
        });
    }

    /// Ends attempts, probes and timers that are due, then feeds one random event.
    fn step(&mut self) {
        self.now += if self.rng.u8(..50) == 0 { self.rng.i64(100..1500) } else { self.rng.i64(0..8) } * MS;
        while let Some(at) = self.pending.iter().position(|p| p.ends_at <= self.now) {
            let ended = self.pending.remove(at);
            self.handle(ended.event);
        }
        if self.timer.is_some_and(|at| at <= self.now) {
            self.timer = None;
            self.handle(Event::TimerExpired);
        }
        match self.rng.u8(..100) {
            0..2 => {
                let complete = self.rng.bool();
                self.list_members(complete);
            }
            2 => self.handle(Event::ListUpdateFailed),
            3 => {
                let router_count = pick(&mut self.rng, &[0, 1, 2, 8, 300]);
                self.handle(Event::RouterCountChanged(router_count));
            }
            4..8 if self.mix == Mix::Sessions => self.list_members(true),
            4..7 => self.change_health(),
            7 => self.fail_over(),
            8 => {
                let request = self.recent_request_id();
                self.handle(Event::ResponseStarted { request });
            }
            9..11 => {
                let request = self.recent_request_id();
                self.handle(Event::ClientDisconnected { request });
            }
            11 => self.unexpected_event(),
            12 => {
                let member = self.rng.usize(..self.members.len());
                self.members[member].lag = pick(&mut self.rng, &[0, 40, 150, 299, 301, 900, 6000]) * MS;
            }
            13..15 => {}
            _ => self.request(),
        }
    }

    fn recent_request_id(&mut self) -> RequestId {
        RequestId(self.next_request.saturating_sub(self.rng.u64(..8)))
    }

    fn request(&mut self) {
        let class = match self.mix {
            Mix::Sessions => [0, 0, 2][self.rng.usize(..3)],
            Mix::Ordinary | Mix::Resets => self.rng.usize(..self.settings.classes.len()),
        };
        let deadline = self.settings.classes[class].deadline;
        let timeout = match self.rng.u8(..10) {
            0 => self.rng.i64(0..deadline + 100 * MS),
            1 => deadline / 2,
            2..6 if self.mix == Mix::Resets => deadline * self.rng.i64(1..40) / 32,
            // The most common timeout changes from time to time.
            _ if self.mix == Mix::Resets && self.next_request % 5000 > 3000 => deadline * 3 / 4,
            _ => deadline,
        };
        let (group, session) = (self.rng.u32(..12) / 10, self.rng.u64(..self.sessions));
        let id = self.next_request;
        self.next_request += 1;
        self.requests.insert(id, (class, group, 0));
        let session_commit = self.rng.bool().then(|| Time(self.now - self.rng.i64(0..400) * MS));
        let request = Request {
            id: RequestId(id),
            class,
            tenant: 0,
            session: (session > 0).then_some(SessionId(session)),
            group: GroupId(group),
            deadline: Time(self.now + timeout),
            session_commit: session_commit
                .filter(|_| self.settings.session_commit_source == SessionCommitSource::CarriedByRequest),
            may_run_partially: false,
        };
        self.handle(Event::RequestArrived(request));
    }

    fn change_health(&mut self) {
        let at = self.rng.usize(..self.members.len());
        let unhealthy_states = [
            Health::Slow,
            Health::RefusesConnections,
            Health::Unreachable,
            Health::Hangs,
            Health::ReturnsErrors,
            Health::AtCapacity,
        ];
        let (unhealthy, choice) = (pick(&mut self.rng, &unhealthy_states), self.rng.u8(..4));
        let member = &mut self.members[at];
        if member.health == Health::RefusesConnections && choice < 3 {
            // The process restarts, and the list may state this.
            member.started_at = Some(Time(self.now));
        }
        member.health =
            if member.health == Health::Healthy && choice < 3 { unhealthy } else { Health::Healthy };
    }

    fn fail_over(&mut self) {
        let group = self.rng.u32(..2);
        let new = self.rng.usize(..self.members.len());
        let ids: Vec<u32> = self.members.iter().filter(|s| s.group == group).map(|s| s.id).collect();
        let Some(new) = ids.get(new % ids.len().max(1)).copied() else { return };
        self.members.iter_mut().filter(|s| s.group == group).for_each(|s| s.primary = s.id == new);
    }

    /// Feeds the end of an attempt or a probe that is unknown to the router or has already ended.
    fn unexpected_event(&mut self) {
        let (request, member) = (self.recent_request_id(), MemberId(self.rng.u32(..12)));
        let (attempt, report) = (self.rng.u32(..3), self.report(member));
        let outcome = pick(
            &mut self.rng,
            &[Outcome::Ok, Outcome::TimedOut, Outcome::NotEligible, Outcome::ConnectFailed],
        );
        if self.rng.bool() {
            self.handle(Event::ProbeEnded { member, outcome, report });
        } else {
            self.handle(Event::AttemptEnded {
                request,
                attempt,
                member,
                outcome,
                request_ended: outcome == Outcome::Ok,
                response_report: report,
                commit: None,
                load_report: MemberReport::default(),
            });
        }
    }

    /// Delivers a complete or incomplete list. Occasionally, a member has been replaced by a new one.
    fn list_members(&mut self, complete: bool) {
        if self.rng.u8(..6) == 0 {
            let at = self.rng.usize(..self.members.len());
            let id = 8 + self.rng.u32(..24);
            if self.members.iter().all(|s| s.id != id) {
                let started_at = Some(Time(self.now));
                self.members[at] = Member { id, health: Health::Healthy, started_at, ..self.members[at] };
            }
        }
        let mut entries = Vec::new();
        for at in 0..self.members.len() {
            if self.rng.u8(..8) == 0 || !complete && self.rng.bool() {
                continue;
            }
            let (state, wrong_role, weight) = (self.rng.u8(..14), self.rng.u8(..9) == 0, self.rng.usize(..7));
            let member = &self.members[at];
            entries.push(MemberEntry {
                id: MemberId(member.id),
                group: GroupId(member.group),
                zone: member.id % 3,
                state: match state {
                    0 => MemberState::Draining,
                    1 if !complete => MemberState::Removed,
                    _ => MemberState::Ready,
                },
                listed_primary: member.primary != wrong_role,
                weight: [1.0, 1.0, 1.0, 2.5, 0.5, 0.0, f64::NAN][weight],
                started_at: member.started_at,
            });
        }
        self.handle(Event::MemberListChanged { complete, entries });
    }
}
