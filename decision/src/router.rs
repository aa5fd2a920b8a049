//! Every decision of damsonvale. Its settings, events and actions are defined in `src/interface.rs`.
//!
//! Ordinary path: writes and reads of the latest data go to the primary, other reads to the fresh-enough
//! replica with the fewest attempts in flight here (ties random), failure signals eject members for a while.
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

/// Stands for a position that nobody has reported, and for the time of what has not happened yet.
const LONG_AGO: Time = Time(i64::MIN / 4);

#[derive(Debug, Default)]
struct Member {
    /// As last listed, of the group that it was first listed in; started anew also when a probe shows that.
    listed: MemberEntry,
    /// Every commit up to here is applied; only rises.
    position: Time,
    /// How far behind the present it was when last heard of.
    lag: Micros,
    lag_observed_at: Option<Time>,
    role_known: bool,
    /// When a response last said that it is a replica.
    denied_primary_at: Option<Time>,
    in_flight: u32,
    /// When a response of it was last late or missing; a quick one clears it.
    late_response_at: Option<Time>,
    /// How many attempts may be in flight from here, learned from its latency (`pool.rs`).
    pool_size: f64,
    probes_in_flight: u32,
    last_probe_at: Option<Time>,
    /// Probes in a row that brought no report.
    consecutive_failed_probes: u32,
    ejected_until: Option<Time>,
    consecutive_ejections: u32,
    /// Back from an ejection: one attempt at a time until one is served.
    half_open: bool,
    /// Connections that were refused since it last answered.
    consecutive_connect_failures: u32,
    /// It was ejected because it could not be reached: an answer to a probe ends that.
    ejected_as_unreachable: bool,
    /// A connection to it was reset, and what it says to the next probe decides on the ejection.
    reset_awaits_probe: bool,
    /// Failed attempts that still count as in flight, until these times.
    abandoned_attempts: Vec<Time>,
}

#[derive(Debug, Default)]
struct Group {
    members: Vec<MemberId>,
    primary: Option<MemberId>,
    /// When all members were last asked who is primary, and how often since there was one.
    last_search_at: Time,
    searches: u32,
    queued: Vec<RequestId>,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    member: MemberId,
    sent_at: Time,
    /// None while it is in flight.
    outcome: Option<Outcome>,
}

#[derive(Debug, Default)]
struct PendingRequest {
    request: Request,
    arrived_at: Time,
    /// When the client first asked, as far as the time that it has left tells.
    first_try_at: Time,
    /// Drawn once in [0, 1): a member that may get a share only takes requests that drew below it.
    admission_draw: f64,
    attempts: Vec<Attempt>,
    queued: bool,
    /// Probes sent for it to prove a replica fresh.
    freshness_probes: u32,
    /// Final answer given or streaming: nothing more is sent.
    finished: bool,
    /// Send time of the first attempt that may have run.
    may_have_run_since: Option<Time>,
}

impl Member {
    fn is_ready(&self) -> bool {
        self.listed.state == MemberState::Ready
    }

    /// Its ejection ends: one attempt at a time until it has shown that it is well.
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

/// The decisions of one router instance.
#[derive(Debug)]
pub struct Router {
    settings: Settings,
    rng: fastrand::Rng,
    now: Time,
    /// What the current event has led to.
    actions: Vec<Action>,
    members: BTreeMap<MemberId, Member>,
    groups: BTreeMap<GroupId, Group>,
    requests: BTreeMap<RequestId, PendingRequest>,
    session_commits: BTreeMap<(GroupId, SessionId), Time>,
    /// What every session read must see, from sessions no longer remembered one by one.
    minimum_position: Option<Time>,
    /// Usual latency of each class.
    latency_ewma: Vec<f64>,
    /// The shares of their deadlines that requests bring as timeouts, and how many brought each.
    timeout_ratios: Vec<(f64, u32)>,
    retry_budget: f64,
    timer_set: bool,
    subscribed: bool,
}

impl Router {
    /// A router that knows nothing yet; the first list follows as an event. The seed fixes random choices.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Router {
            latency_ewma: settings.classes.iter().map(|c| c.latency_objective as f64 / 4.0).collect(),
            settings,
            rng: fastrand::Rng::with_seed(seed),
            now: LONG_AGO,
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

    /// Handles one event and appends the actions that follow, in order.
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

    /// Listed members that get nothing new: they drain, or are ejected until a probe has ended that.
    pub fn unavailable_member_count(&self) -> usize {
        let ejected = |m: &Member| m.is_ready() && m.ejected_until.is_some();
        self.members.values().filter(|m| m.listed.state == MemberState::Draining || ejected(m)).count()
    }

    fn class(&self, pending: &PendingRequest) -> &Class {
        &self.settings.classes[pending.request.class]
    }

    /// Replicas reject what they are too stale for; where they don't, freshness needs proof beforehand.
    fn replicas_check_freshness(&self) -> bool {
        self.settings.lagging_replica != LaggingReplica::AnswersStale
    }
}

/// How long ago something was.
fn elapsed(now: Time, since: Option<Time>) -> Micros {
    now.0 - since.unwrap_or(LONG_AGO).0
}
