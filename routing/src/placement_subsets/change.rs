//! Input and output of the subsets: the roles that endpoints state, and the changes that follow.
use decision::{GroupId, MemberEntry, MemberId, Time};
use placement::PlacementError;
pub use placement::ReportSource;
use std::collections::BTreeMap;

/// The actions of the router actor after a change.
#[derive(Default)]
pub struct SubsetChange {
    /// The changed entries of members, by id.
    pub entries: BTreeMap<MemberId, MemberEntry>,
    /// Aliases that have left their subsets: an attempt that has not started there must not start.
    pub departed: Vec<MemberId>,
    /// Requests without an attempt in flight have to be routed again.
    pub reroute: bool,
    /// The time at which [`placement::Event::TimerExpired`] is due.
    pub timer: Option<Time>,
}

/// The role that an endpoint has stated itself.
#[derive(Clone, Copy, Debug)]
pub struct StatedRole {
    /// It is its group's primary.
    pub primary: bool,
    /// The message in which it was stated.
    pub source: ReportSource,
}

/// The route of a request.
pub struct Routed {
    /// The group, perhaps a subset's, whose members may serve the request; or the reason for which none may.
    pub group: Result<GroupId, PlacementError>,
    /// The actions that follow from routing it.
    pub change: SubsetChange,
}

/// The effects of the outcome of an attempt or a probe.
#[derive(Default)]
pub struct OutcomeRecorded {
    /// The actions that follow from it.
    pub change: SubsetChange,
    /// The other member ids of the endpoint, which have to be notified.
    pub to_notify: Vec<MemberId>,
}
