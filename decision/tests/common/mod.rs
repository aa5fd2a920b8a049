//! A router with a clock, default settings, and functions that extract parts of its actions.
#![allow(dead_code, reason = "each test file is a separate crate and uses only some of these items")]
use decision::{
    Action, Class, Event, Freshness, GroupId, Idempotency, LaggingReplica, MemberEntry, MemberId,
    MemberReport, MemberState, Micros, Outcome, Request, RequestId, Router, SessionCommitSource, SessionId,
    Settings, Time,
};

/// The number of microseconds in a millisecond.
pub(crate) const MS: Micros = 1000;
/// The group of all members that [`entry`] creates.
pub(crate) const GROUP: GroupId = GroupId(7);
/// The group's members drop repeats of such writes for three seconds.
pub(crate) const DEDUPLICATED: Idempotency = Idempotency::DeduplicatedInGroup(3000 * MS);

pub(crate) fn class(freshness: Freshness, idempotency: Idempotency) -> Class {
    Class {
        freshness,
        idempotency,
        latency_objective: 400 * MS,
        deadline: 1200 * MS,
        priority_weight: 1.0,
        late_weight_share: 0.0,
    }
}

/// One value of each variant of [`Idempotency`]. The windows are for deduplication in the group, everywhere
/// and in the zone, in this order.
pub(crate) fn idempotencies(windows: [Micros; 3]) -> [Idempotency; 5] {
    let [in_group, everywhere, in_zone] = windows;
    [
        Idempotency::Idempotent,
        Idempotency::NotIdempotent,
        Idempotency::DeduplicatedInGroup(in_group),
        Idempotency::DeduplicatedEverywhere(everywhere),
        Idempotency::DeduplicatedInZone(in_zone),
    ]
}

/// Default settings. Classes: 0 write, 1 latest, 2 session, 3 bounded (300 ms), 4 any.
pub(crate) fn settings(write: Idempotency) -> Settings {
    let idempotent = |freshness| class(freshness, Idempotency::Idempotent);
    Settings {
        classes: vec![
            Class { late_weight_share: 0.5, ..class(Freshness::Write, write) },
            idempotent(Freshness::Latest),
            idempotent(Freshness::Session),
            idempotent(Freshness::Bounded(300 * MS)),
            idempotent(Freshness::Any),
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

/// Settings for members that check positions themselves, as those of the fleet do, and a router with an event
/// interval of one millisecond.
pub(crate) fn settings_with_freshness_checks() -> Settings {
    Settings {
        lagging_replica: LaggingReplica::WaitsThenRejects(20 * MS),
        min_event_interval: MS,
        router_count: 100,
        ..settings(Idempotency::NotIdempotent)
    }
}

/// The list entry of a ready member, with default values otherwise.
pub(crate) fn entry(id: u32) -> MemberEntry {
    MemberEntry {
        id: MemberId(id),
        group: GROUP,
        zone: 0,
        state: MemberState::Ready,
        listed_primary: false,
        weight: 1.0,
        started_at: None,
    }
}

/// A response's statement of its member's role, without a position.
pub(crate) fn role(primary: bool) -> MemberReport {
    MemberReport { primary: Some(primary), position: None }
}

/// A router, the current time and the number of the next request.
pub(crate) struct TestRouter {
    pub(crate) inner: Router,
    /// The current time in microseconds.
    pub(crate) now: Micros,
    pub(crate) next_request: u64,
}

impl TestRouter {
    pub(crate) fn new(settings: Settings) -> Self {
        TestRouter::with_seed(settings, 1)
    }

    pub(crate) fn with_seed(settings: Settings, seed: u64) -> Self {
        TestRouter { inner: Router::new(settings, seed), now: 100_000 * MS, next_request: 0 }
    }

    /// Members 0 (primary), 1 and 2, all probed and up to date.
    pub(crate) fn ready(settings: Settings) -> Self {
        TestRouter::with_lagging_replicas(settings, [0, 0])
    }

    /// Like `ready`, with replicas that lag by this many milliseconds.
    pub(crate) fn with_lagging_replicas(settings: Settings, lags_ms: [i64; 2]) -> Self {
        let mut router = TestRouter::new(settings);
        router.list_members(3);
        router.probe_ended(0, true, 0);
        router.probe_ended(1, false, lags_ms[0]);
        router.probe_ended(2, false, lags_ms[1]);
        router
    }

    pub(crate) fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.inner.handle(Time(self.now), event, &mut actions);
        actions
    }

    /// Delivers a complete list of members 0 and up, all ready.
    pub(crate) fn list_members(&mut self, count: u32) -> Vec<Action> {
        self.handle(Event::MemberListChanged { complete: true, entries: (0..count).map(entry).collect() })
    }

    /// Delivers an incomplete list with these changes.
    pub(crate) fn list_changes(&mut self, entries: Vec<MemberEntry>) -> Vec<Action> {
        self.handle(Event::MemberListChanged { complete: false, entries })
    }

    /// Advances the clock, then expires the timer.
    pub(crate) fn advance(&mut self, ms: i64) -> Vec<Action> {
        self.now += ms * MS;
        self.handle(Event::TimerExpired)
    }

    /// Ends a probe with a report.
    pub(crate) fn probe_ended(&mut self, id: u32, primary: bool, lag_ms: i64) -> Vec<Action> {
        let position = Some(Time(self.now - lag_ms * MS));
        let report = MemberReport { primary: Some(primary), position };
        self.handle(Event::ProbeEnded { member: MemberId(id), outcome: Outcome::Ok, report })
    }

    /// Ends a probe without a report.
    pub(crate) fn probe_failed(&mut self, member: MemberId, outcome: Outcome) -> Vec<Action> {
        self.handle(Event::ProbeEnded { member, outcome, report: MemberReport::default() })
    }

    /// Delivers a request of this class. If given, the age is that of the commit that a session read must
    /// see.
    pub(crate) fn request(&mut self, class: usize, commit_age_ms: Option<i64>) -> (RequestId, Vec<Action>) {
        self.request_with_timeout(class, commit_age_ms, 1200)
    }

    /// Like `request`, for a client with this timeout.
    pub(crate) fn request_with_timeout(
        &mut self,
        class: usize,
        commit_age_ms: Option<i64>,
        timeout_ms: i64,
    ) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        let request = Request {
            id,
            class,
            tenant: 0,
            session: Some(SessionId(1)),
            group: GROUP,
            deadline: Time(self.now + timeout_ms * MS),
            session_commit: commit_age_ms.map(|age| Time(self.now - age * MS)),
            may_run_partially: false,
        };
        (id, self.handle(Event::RequestArrived(request)))
    }

    /// Ends an attempt whose response states neither role nor position.
    pub(crate) fn end_attempt(
        &mut self,
        request: RequestId,
        attempt: u32,
        member: MemberId,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.end_attempt_with_report(request, attempt, member, outcome, MemberReport::default(), None)
    }

    pub(crate) fn end_attempt_with_report(
        &mut self,
        request: RequestId,
        attempt: u32,
        member: MemberId,
        outcome: Outcome,
        response_report: MemberReport,
        commit: Option<Time>,
    ) -> Vec<Action> {
        self.handle(Event::AttemptEnded {
            request,
            attempt,
            member,
            outcome,
            request_ended: outcome == Outcome::Ok,
            response_report,
            commit,
            load_report: MemberReport::default(),
        })
    }
}

/// The requests that the actions send, with their members.
pub(crate) fn sent_attempts(actions: &[Action]) -> Vec<(RequestId, MemberId)> {
    let pick = |action: &Action| match action {
        Action::Send { request, member, .. } => Some((*request, *member)),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

pub(crate) fn is_rejected(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { request, .. } if *request == id))
}

pub(crate) fn is_failed(actions: &[Action], id: RequestId) -> bool {
    actions.contains(&Action::Fail { request: id })
}

/// The members that the actions probe.
pub(crate) fn probed_members(actions: &[Action]) -> Vec<MemberId> {
    let pick = |action: &Action| match action {
        Action::Probe { member } => Some(*member),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}
