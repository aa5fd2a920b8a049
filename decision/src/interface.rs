//! The vocabulary between a driver and a [`Router`](crate::Router): settings, ids, events and actions.
//!
//! The driver is the program around the state machine: it owns sockets, timers and the clock, turns what happens into
//! an [`Event`] and carries out each [`Action`].

/// A moment on the driver's clock, in whole microseconds. Only differences and order matter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Time(pub i64);

/// A duration in whole microseconds.
pub type Micros = i64;

/// A member (primary or replica). The driver picks the number; it is not reused for another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct MemberId(pub u32);

/// A client request. The driver picks the number; it is not reused while the router runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct RequestId(pub u64);

/// A client session. Two sessions that share a number only see fresher data than they need.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

/// A group: one primary and the replicas that hold the same data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct GroupId(pub u32);

/// Which data a class of requests needs, and with that which members may serve it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// A write: only the primary accepts it.
    Write,
    /// A read that must see every commit made before the request arrived.
    Latest,
    /// A read that must see what its session has written.
    Session,
    /// A read of data at most this old when the attempt is sent.
    Bounded(Micros),
    /// A read that any member may serve, however far behind.
    Any,
}

/// What a second execution of a request would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Nothing: the request may be repeated without limit.
    Idempotent,
    /// Nothing in its group, whose members drop a repeat for this long after the first attempt that may have run was sent.
    DeduplicatedInGroup(Micros),
    /// Nothing anywhere: every member drops a repeat for this long after the first attempt that may have run was sent.
    DeduplicatedEverywhere(Micros),
    /// Nothing in its zone, whose members drop a repeat for this long after the first attempt that may have run was sent.
    DeduplicatedInZone(Micros),
    /// It would take effect twice.
    NotIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// How fresh its data has to be.
    pub freshness: Freshness,
    /// What a repeat would do.
    pub idempotency: Idempotency,
    /// A response within this time earns the full weight.
    pub latency_objective: Micros,
    /// How long a client waits at most, from its first try.
    pub deadline: Micros,
    /// Weight of a response within the latency objective, relative to the other classes'.
    pub priority_weight: f64,
    /// The share of the weight that a late response earns, from 0 to 1.
    pub late_weight_share: f64,
}

/// What a replica does with a read for which it is too far behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LaggingReplica {
    /// It answers from the data that it has: the router must keep such reads away from it.
    AnswersStale,
    /// It rejects the read at once.
    Rejects,
    /// It waits up to this long for the data, then rejects the read.
    WaitsThenRejects(Micros),
}

/// Where the commit that a session read must see is known from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionCommitSource {
    /// The request carries it.
    CarriedByRequest,
    /// The router remembers the commits it has seen.
    RememberedByRouter,
}

/// The start settings of one router.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The classes; requests name them by position.
    pub classes: Vec<Class>,
    /// For each tenant, the rate (requests per second, all routers together) within its quota. No decision
    /// reads this.
    pub tenant_rates: Vec<f64>,
    /// The weight of traffic beyond a tenant's quota, as a share of the usual, from 0 to 1. No decision reads this.
    pub over_quota_weight: f64,
    /// How many routers there are, this one included; 0 where that is not known.
    pub router_count: u32,
    /// The zone of this router.
    pub zone: u32,
    /// The shortest time between two batches of events; decisions leave this much time before a window ends.
    pub min_event_interval: Micros,
    /// What a replica that is too far behind does.
    pub lagging_replica: LaggingReplica,
    /// Where the commits that session reads must see are known from.
    pub session_commit_source: SessionCommitSource,
    /// Two attempts of one request may be in flight together. No decision makes use of it: each request has one attempt in
    /// flight at most.
    pub hedging_allowed: bool,
    /// Attempts that one request may have, the first included.
    pub max_attempts: u32,
    /// Attempts may be cancelled. No decision makes use of it.
    pub cancel_allowed: bool,
    /// Members may be probed.
    pub probing_allowed: bool,
    /// What one probe for each request costs, as a share of the weight of all requests. No decision reads this.
    pub probe_cost: f64,
    /// The longest retry-after time that clients follow; `None` where they follow none.
    pub max_retry_after: Option<Micros>,
    /// A connection not made within this time has failed.
    pub connect_timeout: Micros,
    /// New work to a draining or removed member must end this long after the router was notified. No decision reads this:
    /// such a member gets nothing new from the notification on.
    pub drain_grace: Micros,
    /// A ready member that a complete list lacks may be up and goes on serving; only an entry listed as draining or
    /// removed takes it out.
    pub missing_members_may_serve: bool,
    /// The share of its full capacity with which a member starts, from 0 to 1.
    pub slow_start_initial_share: f64,
    /// A started member has its full capacity after this time; until then its share rises evenly.
    pub slow_start_duration: Micros,
    /// A warming-up member is overloaded by more than this multiple of its present capacity.
    pub overload_factor: f64,
    /// A warming-up member that is overloaded for this time fails.
    pub overload_duration: Micros,
    /// The driver brings no list unless the router subscribes to it ([`Action::Subscribe`]).
    pub list_requires_subscription: bool,
}

/// A listed member's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum MemberState {
    /// Accepts work.
    #[default]
    Ready,
    /// Ends its work; nothing new is sent to it.
    Draining,
    /// No longer part of its group.
    Removed,
}

/// One entry of the member list.
#[derive(Clone, Debug, Default)]
pub struct MemberEntry {
    /// The member.
    pub id: MemberId,
    /// Its group.
    pub group: GroupId,
    /// Its zone.
    pub zone: u32,
    /// Its state.
    pub state: MemberState,
    /// The list names it as the primary of its group; that may be out of date.
    pub listed_primary: bool,
    /// Its size relative to others, 1 where nothing is known.
    pub weight: f64,
    /// When it last started; `None` means long ago.
    pub started_at: Option<Time>,
}

/// A client request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class, a position in [`Settings::classes`].
    pub class: usize,
    /// Its tenant, a position in [`Settings::tenant_rates`]. No decision reads it.
    pub tenant: usize,
    /// Its session, if it has one.
    pub session: Option<SessionId>,
    /// Its group.
    pub group: GroupId,
    /// When the client gives up.
    pub deadline: Time,
    /// The commit that its session must see, where requests carry it ([`SessionCommitSource::CarriedByRequest`]).
    pub session_commit: Option<Time>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The member responded with an error; the attempt may have run.
    Error,
    /// Rejected before it ran: the member is full or draining.
    Rejected,
    /// No response in time; it may have run.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NeverSent,
    /// Rejected before it ran: the member is not the primary, or too far behind.
    NotEligible,
}

impl Outcome {
    /// Whether it proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NeverSent | Outcome::NotEligible)
    }
}

/// What a member reported of itself.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub struct MemberReport {
    /// Whether it is the primary.
    pub primary: Option<bool>,
    /// It has applied every commit up to here.
    pub position: Option<Time>,
}

/// What happens to a router.
#[derive(Clone, Debug)]
pub enum Event {
    /// The member list has changed.
    MemberListChanged {
        /// The list is complete: members that it lacks are missing.
        complete: bool,
        /// The entries.
        entries: Vec<MemberEntry>,
    },
    /// A request for the list failed; the list at hand stays.
    ListUpdateFailed,
    /// How many routers there are from now on, this one included.
    RouterCountChanged(u32),
    /// A request has arrived and is owed one final answer.
    RequestArrived(Request),
    /// An attempt's response has begun to stream: it belongs to the client now.
    ResponseStarted {
        /// The request.
        request: RequestId,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The attempt, counted from 0 in the order of sending.
        attempt: u32,
        /// The member.
        member: MemberId,
        /// How it ended.
        outcome: Outcome,
        /// The driver has given the request its final answer, or it needs none any more: nothing more is sent for it.
        request_ended: bool,
        /// The role and the position that the response itself states.
        response_report: MemberReport,
        /// For a write that was served: when it was committed.
        commit: Option<Time>,
        /// A load report that came with the response. It may be older than the response.
        load_report: MemberReport,
    },
    /// A probe has ended.
    ProbeEnded {
        /// The member.
        member: MemberId,
        /// How it ended.
        outcome: Outcome,
        /// What the member reported, as of a little while ago.
        report: MemberReport,
    },
    /// The client has disconnected; nothing is owed any more.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A timer set with [`Action::SetTimer`] has expired.
    TimerExpired,
}

/// What a router wants done, in order, at the time of the event.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Begin an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// To this member.
        member: MemberId,
        /// Give it up after this time.
        timeout: Micros,
        /// Its first byte must be written within this time, or it must not begin: by then the member's proof of freshness
        /// or the time in which repeats are dropped is over. Never more than the timeout.
        start_timeout: Micros,
    },
    /// Stop waiting for an attempt. No decision asks for this at present.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// Final answer: not served; a retry does no harm.
    Reject {
        /// The request.
        request: RequestId,
        /// When the client should retry, from now.
        retry_after: Option<Micros>,
    },
    /// Final answer: not served, but an attempt may have run, so that a retry may take effect twice.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Send a member a health check.
    Probe {
        /// The member.
        member: MemberId,
    },
    /// Bring [`Event::TimerExpired`] after this time.
    SetTimer {
        /// From now.
        after: Micros,
    },
    /// Subscribe to the member list from now on.
    Subscribe,
    /// The router will not name this member again unless a list brings it back: what is kept for it may be dropped.
    Remove {
        /// The member.
        member: MemberId,
    },
}
