//! The vocabulary between a driver and a [`Router`](crate::Router): settings, ids, events, actions.

/// A moment on the driver's clock, in whole microseconds. Only differences and order matter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Time(pub i64);

/// A length of time in whole microseconds.
pub type Micros = i64;

/// A member (primary or replica). The driver picks the number; it is not reused for another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId(pub u32);

/// A client request. The driver picks the number; it is not reused while the router runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A client session. Two sessions that share a number only see fresher data than they need.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

/// A group: one primary and the replicas that hold the same data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct GroupId(pub u32);

/// What a class of requests needs of the data it meets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Only the primary takes it.
    Write,
    /// Must see every commit made before the request arrived.
    Fresh,
    /// Must see what its session has written.
    Session,
    /// Data at most this old when the attempt is sent.
    Bounded(Micros),
    /// Any member will do.
    Any,
}

/// What a repeat of a request would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Harmless.
    Safe,
    /// Dropped by the members of its group for this long after the first attempt that may have run.
    KeyedInGroup(Micros),
    /// Dropped everywhere for this long after the first attempt that may have run.
    KeyedEverywhere(Micros),
    /// Dropped by the members of its zone for this long after the first attempt that may have run.
    KeyedInZone(Micros),
    /// It would take effect twice.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// What data it needs.
    pub freshness: Freshness,
    /// What a repeat would do.
    pub effect: Effect,
    /// Full worth is earned within this time.
    pub aim: Micros,
    /// How long a client waits at most.
    pub deadline: Micros,
    /// Worth of an answer within the aim.
    pub worth: f64,
    /// The share of the worth that a late answer earns.
    pub late_worth: f64,
}

/// What a replica does with a read for which it is too far behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WhenBehind {
    /// It answers from what it has.
    Answers,
    /// It turns the read away at once.
    Bounces,
    /// It waits up to this long, then turns the read away.
    Waits(Micros),
}

/// How the token of a session read is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tokens {
    /// The request brings it.
    Carried,
    /// The router remembers the commits it has seen.
    Remembered,
}

/// The start settings of one router.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The classes; requests name them by position.
    pub classes: Vec<Class>,
    /// For each tenant, the rate (requests a second, all drivers together) within its share.
    pub tenant_rates: Vec<f64>,
    /// The worth of traffic beyond a tenant's share, as a share of the usual.
    pub over_share_worth: f64,
    /// How many drivers there are.
    pub drivers: u32,
    /// The zone of this driver.
    pub zone: u32,
    /// The shortest time between two rounds of events.
    pub round: Micros,
    /// What a replica that is behind does.
    pub when_behind: WhenBehind,
    /// How session tokens are known.
    pub tokens: Tokens,
    /// Two attempts of one request may be out together.
    pub may_duplicate: bool,
    /// Attempts that one request may have.
    pub max_attempts: u32,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Members may be probed.
    pub may_probe: bool,
    /// What one probe for each request costs, as a share of all worth.
    pub probe_price: f64,
    /// The longest come-back time that clients follow; `None` where they follow none.
    pub max_come_back: Option<Micros>,
    /// A connection not made within this time has failed.
    pub connect_timeout: Micros,
    /// New work to a draining or gone member must end this long after the news.
    pub drain_grace: Micros,
    /// Only an entry listed as draining binds; a member that is merely missing may be up.
    pub only_draining_binds: bool,
    /// The share of its capacity with which a member starts.
    pub cold_from: f64,
    /// A started member is warm after this time.
    pub cold_time: Micros,
    /// A cold member falls over when sent more than this multiple of its present capacity
    pub overload_factor: f64,
    /// for this time.
    pub tip_time: Micros,
    /// The list must be asked for.
    pub list_on_request: bool,
}

/// A listed member's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum MemberState {
    /// Takes work.
    #[default]
    Ready,
    /// Ends its work; nothing new goes to it.
    Draining,
    /// Taken away.
    Gone,
}

/// One entry of the member list.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// The member.
    pub id: MemberId,
    /// Its group.
    pub group: GroupId,
    /// Its zone.
    pub zone: u32,
    /// Its state.
    pub state: MemberState,
    /// The list takes it for the primary of its group.
    pub listed_primary: bool,
    /// Its size relative to others, 1 where nothing is known.
    pub weight: f64,
    /// When it last started; `None` means long ago.
    pub started: Option<Time>,
}

/// A client request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class, a position in [`Settings::classes`].
    pub class: usize,
    /// Its tenant, a position in [`Settings::tenant_rates`].
    pub tenant: usize,
    /// Its session, if it has one.
    pub session: Option<SessionId>,
    /// Its group.
    pub group: GroupId,
    /// The client gives up then.
    pub deadline: Time,
    /// The commit that its session must see, where tokens are carried.
    pub token: Option<Time>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The member answered with an error; it may have run.
    Error,
    /// Turned away unseen: full or draining.
    Full,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
    /// Turned away untouched: not the primary, or too far behind.
    Miss,
}

impl Outcome {
    /// Whether it proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot | Outcome::Miss)
    }
}

/// What a member said of itself.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub struct Report {
    /// Whether it is the primary.
    pub primary: Option<bool>,
    /// It has applied every commit up to here.
    pub position: Option<Time>,
}

/// What happens to a router.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the member list.
    Members {
        /// The list is complete: members that it lacks are gone.
        complete: bool,
        /// The entries.
        entries: Vec<MemberEntry>,
    },
    /// A call to the list failed; the list at hand stays.
    ListFailed,
    /// So many drivers there are from now on, this one included.
    Drivers(u32),
    /// A request has arrived and is owed one final answer.
    Request(Request),
    /// An attempt's answer has begun to stream: it belongs to the client now.
    Streaming {
        /// The request.
        request: RequestId,
    },
    /// An attempt has ended.
    Outcome {
        /// The request.
        request: RequestId,
        /// The attempt, counted from 0 in the order of sending.
        attempt: u32,
        /// The member.
        member: MemberId,
        /// How it ended.
        outcome: Outcome,
        /// The request has its final answer.
        ended: bool,
        /// The answer's note on the member's role, and its position.
        note: Report,
        /// For a write that was served: when it was committed.
        commit: Option<Time>,
        /// A report that came with the answer.
        report: Report,
    },
    /// A probe has ended.
    Probed {
        /// The member.
        member: MemberId,
        /// How it ended.
        outcome: Outcome,
        /// What the member reported, as of a little while ago.
        report: Report,
    },
    /// The client is gone; nothing is owed any more.
    ClientLeft {
        /// The request.
        request: RequestId,
    },
    /// A timer set with [`Action::Timer`] is due.
    Timer,
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
        /// Its first byte must go out within this time, or it must not begin: what it rests on holds no longer. Never more
        /// than the timeout.
        within: Micros,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// Final answer: not served, a new try does no harm.
    Refuse {
        /// The request.
        request: RequestId,
        /// When the client should come back, from now.
        come_back: Option<Micros>,
    },
    /// Final answer: not served, nothing is promised.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Ask a member how it is.
    Probe {
        /// The member.
        member: MemberId,
    },
    /// Bring [`Event::Timer`] after this time.
    Timer {
        /// From now.
        after: Micros,
    },
    /// Ask for news of the member list from now on.
    Subscribe,
    /// The router will not name this member again unless a list brings it back.
    Forget {
        /// The member.
        member: MemberId,
    },
}
