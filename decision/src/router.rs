//! The routing decisions and their state. Settings, events and actions are defined in `src/interface.rs`.
//!
//! In the normal case, writes and reads of the latest data go to the primary. Other reads go to the
//! sufficiently fresh replica that has the fewest attempts from this router in flight, with ties broken at
//! random. Failures eject a member for a limited time.
use crate::interface::{
    Action, Class, Event, Freshness, GroupId, Idempotency, LaggingReplica, MemberEntry, MemberId,
    MemberReport, MemberState, Micros, Outcome, Request, RequestId, SessionCommitSource, SessionId, Settings,
    Time,
};
use std::collections::{BTreeMap, BTreeSet};

mod admission;
mod attempts;
mod choice;
mod health;
mod member_list;
mod pool;
mod probes;

/// Stands for a position that no member has reported, and for the time of an event that has not happened yet.
const DISTANT_PAST: Time = Time(i64::MIN / 4);

#[derive(Debug, Default)]
struct Member {
    /// The latest list entry, with the group of the first one. A probe that shows a restart also updates its
    /// start time.
    listed: MemberEntry,
    /// The member has applied every commit up to this position, which never decreases.
    position: Time,
    /// How far the member lagged behind the present when its position was last observed.
    lag: Micros,
    lag_observed_at: Option<Time>,
    role_known: bool,
    /// When a response of the member last stated that it is a replica.
    reported_replica_at: Option<Time>,
    in_flight: u32,
    /// When a response was last late or missing; cleared by a fast response.
    late_response_at: Option<Time>,
    /// The limit of attempts in flight from this router, adjusted by observed latency (see `pool.rs`).
    pool_size: f64,
    probes_in_flight: u32,
    last_probe_at: Option<Time>,
    /// Consecutive probes that returned no report.
    consecutive_failed_probes: u32,
    ejected_until: Option<Time>,
    consecutive_ejections: u32,
    /// Whether the member returned from ejection; it gets one attempt at a time until one is served quickly.
    half_open: bool,
    /// Consecutive refused connections. Once there are [`health::RESTART_CONNECT_FAILURES`], only a
    /// successful probe resets the count.
    consecutive_connect_failures: u32,
    /// Whether the member was ejected as unreachable; a successful probe ends such an ejection early.
    ejected_as_unreachable: bool,
    /// Whether a connection was reset; the outcome of the next probe decides whether the ejection continues.
    reset_awaits_probe: bool,
    /// The times until which failed attempts still count as in flight.
    abandoned_attempts: Vec<Time>,
}

#[derive(Debug, Default)]
struct Group {
    members: Vec<MemberId>,
    primary: Option<MemberId>,
    /// When all members were last probed to find the primary, and how often since a primary was last known.
    last_search_at: Time,
    searches: u32,
    queued: Vec<RequestId>,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    member: MemberId,
    sent_at: Time,
    /// `None` while the attempt is in flight.
    outcome: Option<Outcome>,
}

#[derive(Debug, Default)]
struct PendingRequest {
    request: Request,
    arrived_at: Time,
    /// When the client first sent the request, estimated from the time left to its deadline.
    first_try_at: Time,
    /// A random number from [0, 1), drawn once. A member that may get only a share of the requests accepts
    /// those whose number is below that share.
    admission_draw: f64,
    attempts: Vec<Attempt>,
    queued: bool,
    /// Probes sent for this request to prove that a replica is fresh enough.
    freshness_probes: u32,
    /// Whether the final response was given or is streaming, so that no further attempt is sent.
    finished: bool,
    /// When the first attempt was sent that may have run.
    may_have_run_since: Option<Time>,
}

impl Member {
    fn is_ready(&self) -> bool {
        self.listed.state == MemberState::Ready
    }

    /// Ends the ejection. The member gets one attempt at a time until an attempt is served quickly.
    fn end_ejection(&mut self) {
        self.ejected_until = None;
        self.half_open = true;
    }
}

impl PendingRequest {
    fn no_attempt_in_flight(&self) -> bool {
        self.attempts.iter().all(|a| a.outcome.is_some())
    }

    fn has_tried(&self, member: MemberId) -> bool {
        self.attempts.iter().any(|a| a.member == member)
    }

    fn count(&self, outcome: Outcome) -> usize {
        self.attempts.iter().filter(|a| a.outcome == Some(outcome)).count()
    }
}

/// The decision state machine of one router instance.
#[derive(Debug)]
pub struct Router {
    settings: Settings,
    rng: fastrand::Rng,
    now: Time,
    /// The actions that the current event has led to so far.
    actions: Vec<Action>,
    members: BTreeMap<MemberId, Member>,
    groups: BTreeMap<GroupId, Group>,
    requests: BTreeMap<RequestId, PendingRequest>,
    session_commits: BTreeMap<(GroupId, SessionId), Time>,
    /// The position that every session read requires, from evicted entries of `session_commits` and from
    /// commits that other processes may have served.
    minimum_position: Option<Time>,
    /// Running mean of the latency of each class, in microseconds.
    latency_ewma: Vec<f64>,
    /// The ratios of timeout to class deadline seen in requests, and how many requests had each.
    timeout_ratios: Vec<(f64, u32)>,
    retry_budget: f64,
    timer_set: bool,
    subscribed: bool,
}

impl Router {
    /// Creates a router without members; the first member list follows as an event. The seed determines all
    /// random choices.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Router {
            latency_ewma: settings.classes.iter().map(|c| c.latency_objective as f64 / 4.0).collect(),
            settings,
            rng: fastrand::Rng::with_seed(seed),
            now: DISTANT_PAST,
            actions: Vec::new(),
            members: BTreeMap::new(),
            groups: BTreeMap::new(),
            requests: BTreeMap::new(),
            session_commits: BTreeMap::new(),
            minimum_position: None,
            timeout_ratios: Vec::new(),
            retry_budget: admission::MAX_RETRY_BUDGET,
            timer_set: false,
            subscribed: false,
        }
    }

    /// Handles one event and appends the resulting actions in order.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::MemberListChanged { complete, entries } => self.on_member_list(complete, entries),
            Event::ListUpdateFailed => self.subscribed = false,
            Event::RouterCountChanged(count) => self.on_router_count(count),
            Event::RequestArrived(request) => self.on_request(request),
            Event::ResponseStarted { request } => self.finish(request),
            Event::ClientDisconnected { request } => self.finish(request),
            Event::AttemptEnded { .. } => self.on_attempt_ended(event),
            Event::ProbeEnded { member, outcome, report } => self.on_probe_ended(member, outcome, report),
            Event::DeadlineShortened { request, deadline } => self.shorten_deadline(request, deadline),
            Event::SessionCommitted { group, session, commit } => self.record_commit(group, session, commit),
            Event::SessionsCommitted { until } => {
                self.minimum_position = self.minimum_position.max(Some(until));
            }
            Event::TimerExpired => self.on_timer(),
        }
        if self.settings.list_requires_subscription && !self.subscribed {
            self.subscribed = true;
            self.actions.push(Action::Subscribe);
        }
        if !self.timer_set && self.groups.values().any(|g| !g.queued.is_empty()) {
            self.timer_set = true;
            self.actions.push(Action::SetTimer { after: 2 * self.settings.min_event_interval.max(1000) });
        }
        actions.append(&mut self.actions);
    }

    /// The number of groups that have listed members or queued requests.
    pub fn group_count(&self) -> usize {
        self.groups.len()
    }

    /// The number of listed members that get no new work: draining members, and ejected members whose
    /// ejection no probe has ended yet.
    pub fn unavailable_member_count(&self) -> usize {
        let ejected = |m: &Member| m.is_ready() && m.ejected_until.is_some();
        self.members.values().filter(|m| m.listed.state == MemberState::Draining || ejected(m)).count()
    }

    fn class(&self, pending: &PendingRequest) -> &Class {
        &self.settings.classes[pending.request.class]
    }

    /// Whether replicas themselves reject reads for which they are too stale. Otherwise the router must prove
    /// a replica's freshness before it sends such a read.
    fn replicas_check_freshness(&self) -> bool {
        self.settings.lagging_replica != LaggingReplica::AnswersStale
    }
}

/// The time since an event; very long if the event never happened.
fn elapsed(now: Time, since: Option<Time>) -> Micros {
    now.0 - since.unwrap_or(DISTANT_PAST).0
}
