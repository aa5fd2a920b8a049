//! Recorded runs: what a router did in seeded random histories, as the fixtures keep it.
//!
//! Each history draws its settings and then its events from one seed: member lists, failovers, drains, restarts,
//! outages of several kinds, requests of all classes, sessions, probes, timers and events out of order. Every event and
//! every action is written as text. `fixtures/recorded_runs.txt` has the counts and the hash of each history's text,
//! `fixtures/recorded_runs_with_resets.txt` and
//! `fixtures/recorded_runs_with_sessions.txt` those of histories with much of one thing, and
//! `fixtures/recorded_trace.txt` the whole text of a short one.
//!
//! A change that is to leave the decisions alone leaves both files alone. After one that changes decisions, the files
//! that the failed test wrote replace them, and the commit says so.
use decision::*;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;

const MS: i64 = 1000;
const HISTORIES: u64 = 48;
/// Events drawn for each history, without those that follow from actions.
const STEPS: usize = 1500;
/// Every eighth history is so many times as long, with a session for each request.
const LONG: usize = 5;
/// Histories in which connections break often.
const RESETS_HISTORIES: u64 = 8;
const RESETS_STEPS: usize = 12_000;
/// Histories with more sessions than a router remembers one by one.
const SESSIONS_HISTORIES: u64 = 6;
const SESSIONS_STEPS: usize = 12_000;
const TRACE_STEPS: usize = 150;

/// What a member does with the work that it gets.
#[derive(Clone, Copy, PartialEq)]
enum Health {
    Well,
    /// Answers late, but answers.
    Slow,
    RefusesConnections,
    /// Connections to it never come up.
    Unreachable,
    Hangs,
    Errs,
    Full,
}

/// What a history has much of.
#[derive(Clone, Copy, PartialEq)]
enum Mix {
    Ordinary,
    /// Connections break often, and clients bring timeouts of many kinds.
    Resets,
    /// Most requests are writes, each of a session of its own, and nothing fails for long.
    Sessions,
}

struct Server {
    id: u32,
    group: u32,
    primary: bool,
    lag: i64,
    health: Health,
    started_at: Option<Time>,
}

/// An attempt or a probe that has not ended yet.
struct Pending {
    at: i64,
    event: Event,
}

struct World {
    settings: Settings,
    router: Router,
    rng: fastrand::Rng,
    now: i64,
    servers: Vec<Server>,
    pending: Vec<Pending>,
    timer: Option<i64>,
    next_request: u64,
    /// Class, session, group and number of attempts of each request.
    requests: BTreeMap<u64, (usize, u32, u32)>,
    sessions: u64,
    mix: Mix,
    text: String,
    counts: BTreeMap<&'static str, usize>,
}

fn draw<T: Copy>(rng: &mut fastrand::Rng, from: &[T]) -> T {
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
    let effects = [
        Idempotency::Idempotent,
        Idempotency::NotIdempotent,
        Idempotency::DeduplicatedInGroup(400 * MS),
        Idempotency::DeduplicatedEverywhere(700 * MS),
        Idempotency::DeduplicatedInZone(500 * MS),
    ];
    let classes = (0..7)
        .map(|n| Class {
            freshness: freshness[n % freshness.len()],
            idempotency: draw(rng, &effects),
            latency_objective: rng.i64(60..500) * MS,
            deadline: rng.i64(500..2000) * MS,
            priority_weight: f64::from(rng.u32(1..9)),
            late_weight_share: f64::from(rng.u32(0..4)) / 4.0,
        })
        .collect();
    Settings {
        classes,
        tenant_rates: vec![],
        over_quota_weight: 1.0,
        router_count: draw(rng, &[0, 1, 3, 8, 300]),
        zone: rng.u32(..3),
        min_event_interval: draw(rng, &[0, 1, 5, 10]) * MS,
        lagging_replica: draw(
            rng,
            &[
                LaggingReplica::AnswersStale,
                LaggingReplica::Rejects,
                LaggingReplica::WaitsThenRejects(20 * MS),
            ],
        ),
        session_commit_source: draw(
            rng,
            &[SessionCommitSource::CarriedByRequest, SessionCommitSource::RememberedByRouter],
        ),
        hedging_allowed: rng.bool(),
        max_attempts: rng.u32(1..7),
        cancel_allowed: rng.bool(),
        probing_allowed: rng.u8(..6) > 0,
        probe_cost: 0.02,
        max_retry_after: rng.bool().then_some(200 * MS),
        connect_timeout: draw(rng, &[100, 250]) * MS,
        drain_grace: 500 * MS,
        missing_members_may_serve: rng.bool(),
        slow_start_initial_share: draw(rng, &[0.15, 0.3, 1.0]),
        slow_start_duration: draw(rng, &[0, 4_000, 18_000]) * MS,
        overload_factor: draw(rng, &[1.5, 2.5, 3.0]),
        overload_duration: draw(rng, &[500, 1000, 3000]) * MS,
        list_requires_subscription: rng.bool(),
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
        let server = |id: u32| Server {
            id,
            group: u32::from(id >= 5),
            primary: id == 0 || id == 5,
            lag: i64::from(id % 5) * 20 * MS,
            health: Health::Well,
            started_at: None,
        };
        World {
            router: Router::new(settings.clone(), seed),
            settings,
            rng,
            now: 50_000 * MS,
            servers: (0..8).map(server).collect(),
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

    fn play(seed: u64, steps: usize, sessions: u64, mix: Mix) -> World {
        let mut world = World::new(seed, sessions, mix);
        world.list(true);
        (0..steps).for_each(|_| world.step());
        world
    }

    fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    fn handle(&mut self, event: Event) {
        self.count("events");
        let line = event_text(&event);
        let mut actions = Vec::new();
        self.router.handle(Time(self.now), event, &mut actions);
        let unavailable = self.router.unavailable_member_count();
        writeln!(self.text, "{} {line} unavailable={unavailable}", self.now).expect("a string takes it");
        for action in actions {
            writeln!(self.text, "    {}", action_text(&action)).expect("a string takes it");
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { request, member, timeout, .. } => {
                self.count("sends");
                self.attempt(request, member, timeout);
            }
            Action::Cancel { .. } => self.count("cancels"),
            Action::Reject { .. } => self.count("rejects"),
            Action::Fail { .. } => self.count("fails"),
            Action::Probe { member } => {
                self.count("probes");
                self.probe(member);
            }
            Action::SetTimer { after } => {
                self.count("timers");
                self.timer = Some(self.now + after);
            }
            Action::Subscribe => self.count("subscriptions"),
            Action::Remove { .. } => self.count("removals"),
        }
    }

    fn server(&self, id: MemberId) -> Option<&Server> {
        self.servers.iter().find(|s| s.id == id.0)
    }

    /// What a member says of itself.
    fn report(&mut self, id: MemberId) -> MemberReport {
        let (now, bare) = (self.now, self.rng.u8(..12) == 0);
        match self.server(id) {
            Some(s) if !bare => MemberReport {
                primary: Some(s.primary),
                position: Some(Time(now - if s.primary { 0 } else { s.lag })),
            },
            _ => MemberReport::default(),
        }
    }

    /// Decides how an attempt will end and when.
    fn attempt(&mut self, request: RequestId, member: MemberId, timeout: i64) {
        let (class, group, attempts) = self.requests.get_mut(&request.0).expect("a request that was sent");
        let (class, group, attempt) = (*class, *group, *attempts);
        self.requests.insert(request.0, (class, group, attempt + 1));
        let freshness = self.settings.classes[class].freshness;
        let checks = self.settings.lagging_replica != LaggingReplica::AnswersStale;
        let (health, primary, lag) =
            self.server(member).map_or((Health::Unreachable, false, 0), |s| (s.health, s.primary, s.lag));
        let stale = match freshness {
            Freshness::Write | Freshness::Latest => !primary,
            Freshness::Bounded(bound) => checks && !primary && lag > bound,
            Freshness::Session => checks && !primary && lag > 100 * MS,
            Freshness::Any => false,
        };
        let quick = self.rng.i64(1..30) * MS;
        let (after, outcome) = match health {
            // A bad request: it fails wherever it goes.
            _ if request.0 % 61 == 7 => (quick, Outcome::Error),
            Health::Hangs => (timeout, Outcome::TimedOut),
            Health::RefusesConnections => (MS, Outcome::ConnectFailed),
            Health::Unreachable => (self.settings.connect_timeout, Outcome::ConnectFailed),
            Health::Errs => (quick, Outcome::Error),
            Health::Full => (quick, Outcome::Rejected),
            Health::Well | Health::Slow if stale => (quick, Outcome::NotEligible),
            Health::Slow => (self.rng.i64(50..600) * MS, Outcome::Ok),
            Health::Well if self.mix == Mix::Resets && self.rng.u8(..10) < 7 => (quick, Outcome::Reset),
            Health::Well => match self.rng.u8(..60) {
                0 => (quick, Outcome::Reset),
                1 => (quick, Outcome::Cancelled),
                2 => (quick, Outcome::NeverSent),
                3 => (quick, Outcome::Error),
                4 => (quick, Outcome::Rejected),
                _ => (quick, Outcome::Ok),
            },
        };
        let (after, outcome) = if after < timeout { (after, outcome) } else { (timeout, Outcome::TimedOut) };
        let speaks =
            matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected | Outcome::NotEligible);
        let response_report = if speaks { self.report(member) } else { MemberReport::default() };
        let load_report =
            if speaks && self.rng.u8(..4) == 0 { self.report(member) } else { MemberReport::default() };
        let ok = outcome == Outcome::Ok;
        let commit = (ok && freshness == Freshness::Write).then_some(Time(self.now + after));
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
        self.pending.push(Pending { at: self.now + after, event });
    }

    fn probe(&mut self, member: MemberId) {
        let quick = self.rng.i64(1..20) * MS;
        let (after, outcome) = match self.server(member).map_or(Health::Unreachable, |s| s.health) {
            Health::RefusesConnections => (MS, Outcome::ConnectFailed),
            Health::Unreachable => (self.settings.connect_timeout, Outcome::ConnectFailed),
            Health::Hangs => (250 * MS, Outcome::TimedOut),
            Health::Errs if self.rng.bool() => (quick, Outcome::Error),
            _ => (quick, Outcome::Ok),
        };
        let report = if outcome == Outcome::Ok { self.report(member) } else { MemberReport::default() };
        self.pending
            .push(Pending { at: self.now + after, event: Event::ProbeEnded { member, outcome, report } });
    }

    /// Ends what is due, then lets one thing happen.
    fn step(&mut self) {
        self.now += if self.rng.u8(..50) == 0 { self.rng.i64(100..1500) } else { self.rng.i64(0..8) } * MS;
        while let Some(at) = self.pending.iter().position(|p| p.at <= self.now) {
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
                self.list(complete);
            }
            2 => self.handle(Event::ListUpdateFailed),
            3 => {
                let router_count = draw(&mut self.rng, &[0, 1, 2, 8, 300]);
                self.handle(Event::RouterCountChanged(router_count));
            }
            4..8 if self.mix == Mix::Sessions => self.list(true),
            4..7 => self.change_health(),
            7 => self.fail_over(),
            8 => {
                let request = self.some_request();
                self.handle(Event::ResponseStarted { request });
            }
            9..11 => {
                let request = self.some_request();
                self.handle(Event::ClientDisconnected { request });
            }
            11 => self.stray(),
            12 => {
                let server = self.rng.usize(..self.servers.len());
                self.servers[server].lag = draw(&mut self.rng, &[0, 40, 150, 299, 301, 900, 6000]) * MS;
            }
            13..15 => {}
            _ => self.ask(),
        }
    }

    fn some_request(&mut self) -> RequestId {
        RequestId(self.next_request.saturating_sub(self.rng.u64(..8)))
    }

    fn ask(&mut self) {
        let class = match self.mix {
            Mix::Sessions => [0, 0, 2][self.rng.usize(..3)],
            Mix::Ordinary | Mix::Resets => self.rng.usize(..self.settings.classes.len()),
        };
        let deadline = self.settings.classes[class].deadline;
        let left = match self.rng.u8(..10) {
            0 => self.rng.i64(0..deadline + 100 * MS),
            1 => deadline / 2,
            2..6 if self.mix == Mix::Resets => deadline * self.rng.i64(1..40) / 32,
            // What most clients bring changes now and then.
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
            deadline: Time(self.now + left),
            session_commit: session_commit
                .filter(|_| self.settings.session_commit_source == SessionCommitSource::CarriedByRequest),
        };
        self.handle(Event::RequestArrived(request));
    }

    fn change_health(&mut self) {
        let at = self.rng.usize(..self.servers.len());
        let all = [
            Health::Slow,
            Health::RefusesConnections,
            Health::Unreachable,
            Health::Hangs,
            Health::Errs,
            Health::Full,
        ];
        let (sick, to) = (draw(&mut self.rng, &all), self.rng.u8(..4));
        let server = &mut self.servers[at];
        if server.health == Health::RefusesConnections && to < 3 {
            // Its process comes back, and the list may say so.
            server.started_at = Some(Time(self.now));
        }
        server.health = if server.health == Health::Well && to < 3 { sick } else { Health::Well };
    }

    fn fail_over(&mut self) {
        let group = self.rng.u32(..2);
        let new = self.rng.usize(..self.servers.len());
        let ids: Vec<u32> = self.servers.iter().filter(|s| s.group == group).map(|s| s.id).collect();
        let Some(new) = ids.get(new % ids.len().max(1)).copied() else { return };
        self.servers.iter_mut().filter(|s| s.group == group).for_each(|s| s.primary = s.id == new);
    }

    /// An event about something that the router does not know or has seen before.
    fn stray(&mut self) {
        let (request, member) = (self.some_request(), MemberId(self.rng.u32(..12)));
        let (attempt, report) = (self.rng.u32(..3), self.report(member));
        let outcome = draw(
            &mut self.rng,
            &[Outcome::Ok, Outcome::TimedOut, Outcome::NotEligible, Outcome::ConnectFailed],
        );
        if self.rng.bool() {
            self.handle(Event::ProbeEnded { member, outcome, report });
        } else {
            let (response_report, commit, load_report) = (report, None, MemberReport::default());
            let request_ended = outcome == Outcome::Ok;
            self.handle(Event::AttemptEnded {
                request,
                attempt,
                member,
                outcome,
                request_ended,
                response_report,
                commit,
                load_report,
            });
        }
    }

    /// A list, whole or in part; now and then a server has been replaced by a new one.
    fn list(&mut self, complete: bool) {
        if self.rng.u8(..6) == 0 {
            let at = self.rng.usize(..self.servers.len());
            let id = 8 + self.rng.u32(..24);
            if self.servers.iter().all(|s| s.id != id) {
                let started_at = Some(Time(self.now));
                self.servers[at] = Server { id, health: Health::Well, started_at, ..self.servers[at] };
            }
        }
        let mut entries = Vec::new();
        for at in 0..self.servers.len() {
            if self.rng.u8(..8) == 0 || !complete && self.rng.bool() {
                continue;
            }
            let (state, lie, weight) = (self.rng.u8(..14), self.rng.u8(..9) == 0, self.rng.usize(..7));
            let server = &self.servers[at];
            entries.push(MemberEntry {
                id: MemberId(server.id),
                group: GroupId(server.group),
                zone: server.id % 3,
                state: match state {
                    0 => MemberState::Draining,
                    1 if !complete => MemberState::Removed,
                    _ => MemberState::Ready,
                },
                listed_primary: server.primary != lie,
                weight: [1.0, 1.0, 1.0, 2.5, 0.5, 0.0, f64::NAN][weight],
                started_at: server.started_at,
            });
        }
        self.handle(Event::MemberListChanged { complete, entries });
    }
}

// Text in words of its own, so that a renamed variant or field leaves the fixtures as they are.

fn optional(time: Option<Time>) -> String {
    time.map_or("-".into(), |t| t.0.to_string())
}

fn outcome_text(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "ok",
        Outcome::Error => "error",
        Outcome::Rejected => "rejected",
        Outcome::TimedOut => "timed-out",
        Outcome::ConnectFailed => "connect-failed",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::NeverSent => "never-sent",
        Outcome::NotEligible => "not-eligible",
    }
}

fn report_text(report: MemberReport) -> String {
    let role = report.primary.map_or("-", |p| if p { "primary" } else { "replica" });
    format!("{role}/{}", optional(report.position))
}

fn entry_text(entry: &MemberEntry) -> String {
    let state = match entry.state {
        MemberState::Ready => "ready",
        MemberState::Draining => "draining",
        MemberState::Removed => "removed",
    };
    let MemberEntry { id, group, zone, listed_primary, weight, started_at, .. } = entry;
    let (id, group, started_at) = (id.0, group.0, optional(*started_at));
    format!(" [m{id} g{group} z{zone} {state} primary={listed_primary} weight={weight} start={started_at}]")
}

fn event_text(event: &Event) -> String {
    match event {
        Event::MemberListChanged { complete, entries } => {
            let entries: String = entries.iter().map(entry_text).collect();
            format!("member-list complete={complete}{entries}")
        }
        Event::ListUpdateFailed => "list-update-failed".into(),
        Event::RouterCountChanged(count) => format!("router-count {count}"),
        Event::RequestArrived(r) => {
            let session = r.session.map_or("-".into(), |s| s.0.to_string());
            let (id, class, group, deadline, commit) =
                (r.id.0, r.class, r.group.0, r.deadline.0, optional(r.session_commit));
            format!(
                "request r{id} class={class} g{group} session={session} deadline={deadline} commit={commit}"
            )
        }
        Event::ResponseStarted { request } => format!("response-begun r{}", request.0),
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
            let (outcome, commit) = (outcome_text(*outcome), optional(*commit));
            let (response, load) = (report_text(*response_report), report_text(*load_report));
            format!(
                "attempt-ended r{}.{attempt} m{} {outcome} final={request_ended} response={response} commit={commit} load={load}",
                request.0, member.0
            )
        }
        Event::ProbeEnded { member, outcome, report } => {
            format!("probe-ended m{} {} {}", member.0, outcome_text(*outcome), report_text(*report))
        }
        Event::ClientDisconnected { request } => format!("client-disconnected r{}", request.0),
        Event::TimerExpired => "timer".into(),
    }
}

fn action_text(action: &Action) -> String {
    match action {
        Action::Send { request, member, timeout, start_timeout } => {
            format!("send r{} m{} timeout={timeout} start={start_timeout}", request.0, member.0)
        }
        Action::Cancel { request, attempt } => format!("cancel r{}.{attempt}", request.0),
        Action::Reject { request, retry_after } => {
            let after = retry_after.map_or("-".into(), |after| after.to_string());
            format!("reject r{} retry-after={after}", request.0)
        }
        Action::Fail { request } => format!("fail r{}", request.0),
        Action::Probe { member } => format!("probe m{}", member.0),
        Action::SetTimer { after } => format!("set-timer {after}"),
        Action::Subscribe => "subscribe".into(),
        Action::Remove { member } => format!("remove m{}", member.0),
    }
}

/// FNV-1a, 64 bits.
fn hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

/// Compares with a fixture; what was found instead is written beside the build for a look at the difference.
fn check(name: &str, found: &str) {
    let fixture = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    let kept = std::fs::read_to_string(&fixture).unwrap_or_default();
    if kept == found {
        return;
    }
    let beside = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&beside, found).expect("the build's folder can be written to");
    let line = kept.lines().zip(found.lines()).take_while(|(kept, found)| kept == found).count() + 1;
    panic!("the run differs from {} at line {line}; it is in {}", fixture.display(), beside.display());
}

/// A line for each history: its seed, the hash of its text and its counts.
fn summary(histories: impl Iterator<Item = (u64, World)>) -> String {
    let mut found = String::new();
    let mut totals: BTreeMap<&str, usize> = BTreeMap::new();
    for (seed, world) in histories {
        write!(found, "history={seed} hash={:016x}", hash(&world.text)).expect("a string takes it");
        for (what, count) in &world.counts {
            write!(found, " {what}={count}").expect("a string takes it");
            *totals.entry(what).or_default() += count;
        }
        found.push('\n');
    }
    for what in ["sends", "rejects", "fails", "probes", "timers", "subscriptions", "removals"] {
        assert!(totals.get(what).is_some_and(|count| *count > 100), "{what}: {totals:?}");
    }
    found
}

#[test]
fn actions_of_seeded_histories_match_recorded_hashes() {
    let play = |seed| match seed % 8 {
        7 => World::play(seed, LONG * STEPS, 1 << 40, Mix::Ordinary),
        _ => World::play(seed, STEPS, 30, Mix::Ordinary),
    };
    let found = summary((0..HISTORIES).map(|seed| (seed, play(seed))));
    check("recorded_runs.txt", &found);
}

#[test]
fn actions_under_resets_and_mixed_timeouts_match_recorded_hashes() {
    let play = |seed| World::play(seed, RESETS_STEPS, 30, Mix::Resets);
    let found = summary((100..100 + RESETS_HISTORIES).map(|seed| (seed, play(seed))));
    check("recorded_runs_with_resets.txt", &found);
}

#[test]
fn actions_with_many_sessions_match_recorded_hashes() {
    let play = |seed| World::play(seed, SESSIONS_STEPS, 1 << 40, Mix::Sessions);
    let found = summary((200..200 + SESSIONS_HISTORIES).map(|seed| (seed, play(seed))));
    check("recorded_runs_with_sessions.txt", &found);
}

#[test]
fn actions_of_short_history_match_recorded_trace() {
    check("recorded_trace.txt", &World::play(3, TRACE_STEPS, 30, Mix::Ordinary).text);
}
