//! The types that a driver and a [`Router`](crate::Router) exchange: settings, ids, events and actions.
//!
//! The driver is the program around the state machine. It owns sockets, timers and the clock, reports
//! everything that happens as an [`Event`] and executes each [`Action`].

/// A point in time on the driver's clock, in whole microseconds. The clock may start anywhere: decisions use
/// only differences and order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Time(pub i64);

/// A duration in whole microseconds.
pub type Micros = i64;

/// A member of a group: a primary or a replica. The driver assigns the number and does not reuse it for
/// another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct MemberId(pub u32);

/// A client request. The driver assigns the number and does not reuse it while the router runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct RequestId(pub u64);

/// A client session. If two sessions share a number, their reads may be required to be fresher than
/// necessary, but never become staler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

/// A replication group: one primary and the replicas of its data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct GroupId(pub u32);

/// How fresh the data must be that a class of requests reads. This determines which members may serve the
/// class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// A write: only the primary accepts it.
    Write,
    /// A read that must see every commit made before the request arrived.
    Latest,
    /// A read that must see the earlier writes of its own session.
    Session,
    /// A read of data that is at most this old when the attempt is sent.
    Bounded(Micros),
    /// A read that any member may serve, however far it lags behind the primary.
    Any,
}

/// The effect of executing a request a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// No effect: the request may be repeated at any time.
    Idempotent,
    /// No effect within its group: the group's members drop a repeat for this long after the sending of the
    /// first attempt that may have run.
    DeduplicatedInGroup(Micros),
    /// No effect at any member: every member drops a repeat for this long after the sending of the first
    /// attempt that may have run.
    DeduplicatedEverywhere(Micros),
    /// No effect within its zone: the zone's members drop a repeat for this long after the sending of the
    /// first attempt that may have run.
    DeduplicatedInZone(Micros),
    /// The request takes effect twice.
    NotIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// The required freshness of the data.
    pub freshness: Freshness,
    /// The effect of executing a request of this class a second time.
    pub idempotency: Idempotency,
    /// A response within this time earns the full weight of the class.
    pub latency_objective: Micros,
    /// How long a client waits in total, counted from its first try and across its own retries.
    pub deadline: Micros,
    /// The weight of a response within the latency objective, relative to other classes.
    pub priority_weight: f64,
    /// The share of `priority_weight` that a response after the latency objective earns, 0 to 1.
    pub late_weight_share: f64,
}

/// How a replica treats a read that requires fresher data than the replica has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LaggingReplica {
    /// The replica serves the read from its stale data, so the router must not send it such reads.
    AnswersStale,
    /// The replica rejects the read at once.
    Rejects,
    /// The replica waits up to this long to catch up, then rejects the read.
    WaitsThenRejects(Micros),
}

/// How the router knows which commit a session read must see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionCommitSource {
    /// The request contains the commit.
    CarriedByRequest,
    /// The router records the commits that it sees in responses.
    RememberedByRouter,
}

/// The settings with which a router starts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The classes of requests. A request refers to its class by index.
    pub classes: Vec<Class>,
    /// The rate within the quota of each tenant, in requests per second over all routers. No decision reads
    /// this.
    pub tenant_rates: Vec<f64>,
    /// The weight of traffic beyond a tenant's quota, as a share of the normal weight, from 0 to 1. No
    /// decision reads this.
    pub over_quota_weight: f64,
    /// The number of routers in the fleet, including this one; 0 if it is unknown.
    pub router_count: u32,
    /// The zone of this router.
    pub zone: u32,
    /// The shortest time between two batches of events. Decisions stop this much before a deduplication
    /// window ends.
    pub min_event_interval: Micros,
    /// How replicas treat reads for which they lag too far behind.
    pub lagging_replica: LaggingReplica,
    /// How the router knows which commit a session read must see.
    pub session_commit_source: SessionCommitSource,
    /// Whether two attempts of one request may be in flight at the same time. No decision uses this: each
    /// request has at most one attempt in flight.
    pub hedging_allowed: bool,
    /// The maximum number of attempts of one request, including the first.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled. No decision uses this.
    pub cancel_allowed: bool,
    /// Whether members may be probed.
    pub probing_allowed: bool,
    /// The cost of sending one probe per request, as a share of the weight of all requests. No decision reads
    /// this.
    pub probe_cost: f64,
    /// The longest retry-after time that clients respect; `None` if they ignore retry-after.
    pub max_retry_after: Option<Micros>,
    /// The time within which a connection to a member must be established, or the connection has failed.
    pub connect_timeout: Micros,
    /// The time after the router was notified within which new work for a draining or removed member must
    /// end. No decision reads this: such a member gets no new work from the notification on.
    pub drain_grace: Micros,
    /// Whether a ready member that is missing from a complete list continues to serve. If so, only an entry
    /// that is listed as draining or removed takes a member out of service.
    pub missing_members_may_serve: bool,
    /// The share of its full capacity that a member has right after its start, from 0 to 1.
    pub slow_start_initial_share: f64,
    /// The time from a member's start to its full capacity. The capacity rises linearly in between.
    pub slow_start_duration: Micros,
    /// A member that is warming up is overloaded when it gets more than this multiple of its present
    /// capacity.
    pub overload_factor: f64,
    /// A member that is warming up fails if it is overloaded for this long.
    pub overload_duration: Micros,
    /// Whether the driver delivers member lists only after the router has subscribed ([`Action::Subscribe`]).
    pub list_requires_subscription: bool,
}

/// The state of a member in the member list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum MemberState {
    /// The member accepts new attempts.
    #[default]
    Ready,
    /// Finishes its work and gets no new work.
    Draining,
    /// Has left its group.
    Removed,
}

/// A member as the member list describes it.
#[derive(Clone, Debug, Default)]
pub struct MemberEntry {
    /// The id of the listed member.
    pub id: MemberId,
    /// The group to which the member belongs.
    pub group: GroupId,
    /// The zone in which the member runs.
    pub zone: u32,
    /// The member's state according to the list.
    pub state: MemberState,
    /// Whether the list names the member as the primary of its group. The list may be out of date.
    pub listed_primary: bool,
    /// The member's capacity relative to other members; 1 if unknown.
    pub weight: f64,
    /// When the member's process last started; `None` if the time is unknown or long ago.
    pub started_at: Option<Time>,
}

/// A client request as the router receives it.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// The id that identifies the request in events and actions.
    pub id: RequestId,
    /// The request's class, an index into [`Settings::classes`].
    pub class: usize,
    /// The request's tenant, an index into [`Settings::tenant_rates`]. No decision reads this.
    pub tenant: usize,
    /// The client session that the request belongs to, if any.
    pub session: Option<SessionId>,
    /// The group that stores the request's data.
    pub group: GroupId,
    /// When the client stops waiting.
    pub deadline: Time,
    /// The commit that the request must see, if requests contain it
    /// ([`SessionCommitSource::CarriedByRequest`]).
    pub session_commit: Option<Time>,
    /// Whether the request may run in part before it fails, so that it cannot be tried at a member that may not
    /// be the primary.
    pub may_run_partially: bool,
}

/// The result of an attempt or a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The member served the attempt.
    Ok,
    /// The member responded with an error. The attempt may have run.
    Error,
    /// The member rejected the attempt before it ran, because it is at capacity or draining.
    Rejected,
    /// No response within the timeout. The attempt may have run.
    TimedOut,
    /// No connection was established. The attempt never ran.
    ConnectFailed,
    /// The connection broke. The attempt may have run.
    Reset,
    /// The attempt was cancelled. The attempt may have run.
    Cancelled,
    /// The attempt was never sent.
    NeverSent,
    /// The member rejected the attempt before it ran, because it is not the primary or lags too far behind.
    NotEligible,
}

impl Outcome {
    /// Whether the outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NeverSent | Outcome::NotEligible)
    }
}

/// The role and the replication position that a member reported.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub struct MemberReport {
    /// Whether the member is the primary.
    pub primary: Option<bool>,
    /// The member has applied every commit up to this time.
    pub position: Option<Time>,
}

/// Input of a router.
#[derive(Clone, Debug)]
pub enum Event {
    /// The member list has changed.
    MemberListChanged {
        /// Whether the list is complete. Known members that a complete list does not name are missing.
        complete: bool,
        /// The entries of the list.
        entries: Vec<MemberEntry>,
    },
    /// A request for the member list failed. The router retains the last list.
    ListUpdateFailed,
    /// The number of routers in the fleet has changed to this value, which includes this router.
    RouterCountChanged(u32),
    /// A request has arrived, which requires exactly one final response.
    RequestArrived(Request),
    /// The response to an attempt has begun to stream to the client, so the request can no longer be retried.
    ResponseStarted {
        /// The id of the request whose response has begun to stream.
        request: RequestId,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The id of the request to which the attempt belongs.
        request: RequestId,
        /// The index of the attempt, from 0 in the order of sending.
        attempt: u32,
        /// The member to which the attempt was sent.
        member: MemberId,
        /// The result of the attempt.
        outcome: Outcome,
        /// Whether the driver has completed the request, so that nothing more may be sent for it: it has
        /// given the final response, or none is required any more.
        request_ended: bool,
        /// The role and the position stated in the response itself.
        response_report: MemberReport,
        /// The commit time of a write that was served.
        commit: Option<Time>,
        /// A load report that accompanied the response. The report may be older than the response.
        load_report: MemberReport,
    },
    /// A probe has ended.
    ProbeEnded {
        /// The member that was probed.
        member: MemberId,
        /// The result of the probe.
        outcome: Outcome,
        /// The member's report, which may be slightly out of date.
        report: MemberReport,
    },
    /// The client has disconnected. The request requires no response any more.
    ClientDisconnected {
        /// The id of the request whose client has disconnected.
        request: RequestId,
    },
    /// A request gets less time than it arrived with. The driver ends attempts in flight at the new deadline.
    DeadlineShortened {
        /// The id of the request.
        request: RequestId,
        /// The new deadline; a later one than the present has no effect.
        deadline: Time,
    },
    /// A write of a session was served by another process of this router.
    SessionCommitted {
        /// The group of the write.
        group: GroupId,
        /// The session of the write.
        session: SessionId,
        /// The commit time of the write.
        commit: Time,
    },
    /// Writes of any session with commits up to this time may have been served by other processes of this
    /// router.
    SessionsCommitted {
        /// The latest possible commit time.
        until: Time,
    },
    /// A timer set with [`Action::SetTimer`] has expired.
    TimerExpired,
}

/// Output of a router. The driver executes actions in order, at the time of the event.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to a member.
    Send {
        /// The id of the request to which the attempt belongs.
        request: RequestId,
        /// The member to which the attempt is sent.
        member: MemberId,
        /// The time after which the attempt is abandoned.
        timeout: Micros,
        /// The time within which the first byte must be written; afterwards the attempt must not start,
        /// because the proof of the member's freshness or the deduplication window has expired. Never longer
        /// than the timeout.
        start_timeout: Micros,
    },
    /// Abandon an attempt. No decision requests this at present.
    Cancel {
        /// The id of the request whose attempt is abandoned.
        request: RequestId,
        /// The index of the attempt.
        attempt: u32,
    },
    /// Final response: the request was not served, and it is safe to retry.
    Reject {
        /// The id of the rejected request.
        request: RequestId,
        /// The time from now after which the client should retry.
        retry_after: Option<Micros>,
    },
    /// Final response: the request was not served, but an attempt may have run, so a retry may take effect
    /// twice.
    Fail {
        /// The id of the failed request.
        request: RequestId,
    },
    /// Send a health check to a member.
    Probe {
        /// The member to probe.
        member: MemberId,
    },
    /// Deliver [`Event::TimerExpired`] after this time.
    SetTimer {
        /// The time from now.
        after: Micros,
    },
    /// Subscribe to the member list.
    Subscribe,
    /// Release the driver's resources for a member. The router does not use this member again unless a later
    /// list contains it.
    Remove {
        /// The member that was removed.
        member: MemberId,
    },
}
