//! The state machine's inputs and outputs, and its settings.
use decision::{GroupId, MemberState, Micros, Time};
use settings::fleet::{Fleet, Version};
use std::sync::Arc;

/// How long a member whose site has changed is outside of every boundary, in microseconds.
const DEFAULT_SITE_SETTLE_TIME: Micros = 2_000_000;
/// How long an answer that denies the role of primary prevails over probes, in microseconds.
const DEFAULT_DENIAL_TIME: Micros = 1_000_000;

/// Settings of the state machine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The names of the request classes, in the order of their numbers.
    pub classes: Vec<String>,
    /// A member whose site has changed is outside of every boundary for this long: longer than idle connections to its
    /// old site live, and than answers from there are in transit.
    pub site_settle_time: Micros,
    /// A probe that names a member as the primary is ignored for this long after an answer of that member denied it: the
    /// probe's result may be older.
    pub denial_time: Micros,
}

impl Settings {
    /// The settings for these classes, with the default times.
    pub fn new(classes: Vec<String>) -> Self {
        Settings { classes, site_settle_time: DEFAULT_SITE_SETTLE_TIME, denial_time: DEFAULT_DENIAL_TIME }
    }
}

/// What the fleet's store has brought of the rules.
#[derive(Clone, Debug)]
pub enum RulesUpdate {
    /// A configuration was read. It is ignored unless it is newer than the present one.
    Received {
        /// Its version.
        version: Version,
        /// The configuration.
        fleet: Arc<Fleet>,
    },
    /// The present configuration is confirmed to be the current one until this time.
    Confirmed {
        /// On the clock of the events.
        until: Time,
    },
}

/// An entry of the member list.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its name, the same after a restart.
    pub name: Arc<str>,
    /// Its group.
    pub group: GroupId,
    /// Its site. A member of an unknown site is outside of every boundary.
    pub site: Option<Arc<str>>,
    /// Its state.
    pub state: MemberState,
    /// Whether the list names it as its group's primary.
    pub primary: bool,
}

/// What a member reports its role with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportSource {
    /// The response to a request.
    Response,
    /// The response to a probe, which may be older than what a response to a request reported.
    Probe,
}

/// A request as far as its placement depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoutingQuery<'a> {
    /// The name of its tenant, where it has one.
    pub tenant: Option<&'a str>,
    /// The number of its class.
    pub class: usize,
    /// The group that it names.
    pub group: GroupId,
    /// Whether only the group's primary can serve it.
    pub needs_primary: bool,
}

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// The rules have changed or were confirmed.
    RulesUpdated(RulesUpdate),
    /// The member list has changed.
    MembersUpdated {
        /// Whether the entries are the whole list: a member that it lacks has left.
        complete: bool,
        /// New and changed entries, or all.
        entries: Vec<Member>,
    },
    /// A member has reported whether it is its group's primary.
    RoleReported {
        /// Its name.
        member: Arc<str>,
        /// Whether it is.
        primary: bool,
        /// What it has reported it with.
        source: ReportSource,
    },
    /// A member turned out to be reachable or not.
    ReachabilityChanged {
        /// Its name.
        member: Arc<str>,
        /// Whether it could be reached.
        reachable: bool,
    },
    /// The time of [`Action::SetTimer`] has come.
    TimerExpired,
}

/// What the driver must do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A view has exactly these members from now on. No attempt may be sent through it to any other member, those that
    /// are queued included; attempts in flight end by themselves.
    UpdateView {
        /// The view's number.
        view: GroupId,
        /// The group that it is a part of.
        base: GroupId,
        /// The members' names, in order.
        members: Vec<Arc<str>>,
    },
    /// What [`PlacementEngine::route`](crate::PlacementEngine::route) returns may have changed: ask it again for each
    /// queued request.
    RerouteQueued,
    /// Hand in [`Event::TimerExpired`] at this time.
    SetTimer {
        /// When.
        at: Time,
    },
}
