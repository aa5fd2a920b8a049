//! The state machine's inputs, outputs and settings.
use decision::{GroupId, MemberState, Micros, Time};
use settings::fleet::{Fleet, Version};
use std::sync::Arc;

/// How long a member is outside every boundary after its site has changed, in microseconds.
const DEFAULT_SITE_SETTLE_TIME: Micros = 2_000_000;
/// How long a response that denies the primary role takes precedence over probes, in microseconds.
const DEFAULT_DENIAL_TIME: Micros = 1_000_000;

/// The settings of the placement state machine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The names of the request classes, by class number.
    pub classes: Vec<String>,
    /// How long a member is outside every boundary after its site has changed. Must be longer than the idle
    /// timeout of connections to its old site and than the time in which responses from there are in transit.
    pub site_settle_time: Micros,
    /// How long a probe that reports a member as primary is ignored after a response of that member denied
    /// the primary role, because the probe's result may be older.
    pub denial_time: Micros,
}

impl Settings {
    /// Creates settings for these classes with the default times.
    pub fn new(classes: Vec<String>) -> Self {
        Settings { classes, site_settle_time: DEFAULT_SITE_SETTLE_TIME, denial_time: DEFAULT_DENIAL_TIME }
    }
}

/// An update of the rules from the fleet's store.
#[derive(Clone, Debug)]
pub enum RulesUpdate {
    /// A configuration was received. It is ignored unless it is newer than the present one.
    Received {
        /// The version of the configuration.
        version: Version,
        /// The configuration, which contains the placement rules.
        fleet: Arc<Fleet>,
    },
    /// The present configuration is confirmed to be the current one until this time.
    Confirmed {
        /// The end of the confirmation, on the clock of the events.
        until: Time,
    },
}

/// An entry of the member list.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The name of the member, which remains the same after a restart.
    pub name: Arc<str>,
    /// The group of the member.
    pub group: GroupId,
    /// The site of the member, if known. A member whose site is unknown is outside every boundary.
    pub site: Option<Arc<str>>,
    /// The state of the member, such as in service or draining.
    pub state: MemberState,
    /// Whether the list names the member as its group's primary.
    pub primary: bool,
}

/// The kind of message in which a member reported its role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportSource {
    /// The response to a request.
    Response,
    /// The response to a probe. It may be older than the last response to a request.
    Probe,
}

/// The properties of a request that determine its placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoutingQuery<'a> {
    /// The name of the request's tenant, if it has one.
    pub tenant: Option<&'a str>,
    /// The number of the request's class.
    pub class: usize,
    /// The group that the request names.
    pub group: GroupId,
    /// Whether only the group's primary can serve the request.
    pub needs_primary: bool,
}

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// The rules have changed or have been confirmed.
    RulesUpdated(RulesUpdate),
    /// The member list has changed.
    MembersUpdated {
        /// Whether the entries are the whole list: members that it lacks have been removed.
        complete: bool,
        /// The new and changed entries, or all entries if the list is complete.
        entries: Vec<Member>,
    },
    /// A member has reported whether it is its group's primary.
    RoleReported {
        /// The name of the member.
        member: Arc<str>,
        /// Whether the member is the primary.
        primary: bool,
        /// The kind of message that contained the report.
        source: ReportSource,
    },
    /// A member has become reachable or unreachable.
    ReachabilityChanged {
        /// The name of the member.
        member: Arc<str>,
        /// Whether the member could be reached.
        reachable: bool,
    },
    /// The time of an [`Action::SetTimer`] has been reached.
    TimerExpired,
}

/// An output that the driver must carry out; several are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A view now has exactly these members. No attempt may be sent through it to any other member, including
    /// attempts that are queued. Attempts in flight are not interrupted.
    UpdateView {
        /// The number of the view.
        view: GroupId,
        /// The group that the view is a part of.
        base: GroupId,
        /// The names of the members, in alphabetical order.
        members: Vec<Arc<str>>,
    },
    /// The results of [`PlacementEngine::route`](crate::PlacementEngine::route) may have changed: call it
    /// again for each queued request.
    RerouteQueued,
    /// Pass in [`Event::TimerExpired`] at this time.
    SetTimer {
        /// The time at which to pass in the event.
        at: Time,
    },
}
