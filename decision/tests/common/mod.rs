//! A router with a clock and what it has done so far.
#![allow(dead_code)]
use decision::*;

pub const MS: i64 = 1000;
pub const G: GroupId = GroupId(7);

pub fn class(freshness: Freshness, idempotency: Idempotency) -> Class {
    Class {
        freshness,
        idempotency,
        latency_objective: 400 * MS,
        deadline: 1200 * MS,
        priority_weight: 1.0,
        late_weight_share: 0.0,
    }
}

/// Classes: 0 write, 1 fresh, 2 session, 3 bounded (300 ms), 4 any.
pub fn settings(write: Idempotency) -> Settings {
    let mut w = class(Freshness::Write, write);
    w.late_weight_share = 0.5;
    Settings {
        classes: vec![
            w,
            class(Freshness::Latest, Idempotency::Idempotent),
            class(Freshness::Session, Idempotency::Idempotent),
            class(Freshness::Bounded(300 * MS), Idempotency::Idempotent),
            class(Freshness::Any, Idempotency::Idempotent),
        ],
        tenant_rates: vec![],
        over_quota_weight: 1.0,
        router_count: 3,
        zone: 0,
        min_event_interval: 5 * MS,
        lagging_replica: LaggingReplica::AnswersStale,
        session_commit_source: SessionCommitSource::CarriedByRequest,
        hedging_allowed: false,
        max_attempts: 6,
        cancel_allowed: true,
        probing_allowed: true,
        probe_cost: 0.02,
        max_retry_after: Some(1000 * MS),
        connect_timeout: 250 * MS,
        drain_grace: 500 * MS,
        missing_members_may_serve: false,
        slow_start_initial_share: 0.2,
        slow_start_duration: 17_000 * MS,
        overload_factor: 3.0,
        overload_duration: 2000 * MS,
        list_requires_subscription: false,
    }
}

pub fn entry(id: u32) -> MemberEntry {
    MemberEntry {
        id: MemberId(id),
        group: G,
        zone: 0,
        state: MemberState::Ready,
        listed_primary: false,
        weight: 1.0,
        started_at: None,
    }
}

pub struct Bench {
    pub router: Router,
    pub now: i64,
    pub next: u64,
}

impl Bench {
    pub fn new(settings: Settings) -> Self {
        Bench { router: Router::new(settings, 1), now: 100_000 * MS, next: 0 }
    }

    /// Members 0 (primary), 1 and 2, all probed and up to date.
    pub fn ready(settings: Settings) -> Self {
        Bench::behind(settings, [0, 0])
    }

    /// The same with replicas that are this many milliseconds behind.
    pub fn behind(settings: Settings, replicas: [i64; 2]) -> Self {
        let mut b = Bench::new(settings);
        b.event(Event::MemberListChanged { complete: true, entries: (0..3).map(entry).collect() });
        b.probed(0, true, 0);
        b.probed(1, false, replicas[0]);
        b.probed(2, false, replicas[1]);
        b
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.router.handle(Time(self.now), event, &mut out);
        out
    }

    pub fn wait(&mut self, ms: i64) -> Vec<Action> {
        self.now += ms * MS;
        self.event(Event::TimerExpired)
    }

    pub fn probed(&mut self, id: u32, primary: bool, behind_ms: i64) -> Vec<Action> {
        let report = MemberReport { primary: Some(primary), position: Some(Time(self.now - behind_ms * MS)) };
        self.event(Event::ProbeEnded { member: MemberId(id), outcome: Outcome::Ok, report })
    }

    pub fn ask(&mut self, class: usize, token_ms: Option<i64>) -> (RequestId, Vec<Action>) {
        self.ask_waiting(class, token_ms, 1200)
    }

    /// The same from a client that waits this many milliseconds.
    pub fn ask_waiting(
        &mut self,
        class: usize,
        token_ms: Option<i64>,
        wait: i64,
    ) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next);
        self.next += 1;
        let request = Request {
            id,
            class,
            tenant: 0,
            session: Some(SessionId(1)),
            group: G,
            deadline: Time(self.now + wait * MS),
            session_commit: token_ms.map(|t| Time(self.now - t * MS)),
        };
        (id, self.event(Event::RequestArrived(request)))
    }

    pub fn outcome(
        &mut self,
        request: RequestId,
        attempt: u32,
        member: MemberId,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.noted(request, attempt, member, outcome, MemberReport::default(), None)
    }

    pub fn noted(
        &mut self,
        request: RequestId,
        attempt: u32,
        member: MemberId,
        outcome: Outcome,
        response_report: MemberReport,
        commit: Option<Time>,
    ) -> Vec<Action> {
        let (request_ended, load_report) = (outcome == Outcome::Ok, MemberReport::default());
        self.event(Event::AttemptEnded {
            request,
            attempt,
            member,
            outcome,
            request_ended,
            response_report,
            commit,
            load_report,
        })
    }
}

pub fn sends(actions: &[Action]) -> Vec<(RequestId, MemberId)> {
    let pick = |a: &Action| match a {
        Action::Send { request, member, .. } => Some((*request, *member)),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

pub fn refused(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { request, .. } if *request == id))
}

pub fn failed(actions: &[Action], id: RequestId) -> bool {
    actions.contains(&Action::Fail { request: id })
}

pub fn probes(actions: &[Action]) -> Vec<MemberId> {
    actions
        .iter()
        .filter_map(|a| if let Action::Probe { member } = a { Some(*member) } else { None })
        .collect()
}
