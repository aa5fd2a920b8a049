//! Input and output types of the placement subsets: reported roles, and the changes that the router actor has
//! to apply.
use decision::{GroupId, MemberEntry, MemberId, Time};
use placement::PlacementError;
pub use placement::ReportSource;
use std::collections::BTreeMap;

/// Changes that the router actor has to apply after a subset has changed.
#[derive(Default)]
pub struct SubsetChange {
    /// Changed member entries, by member ID.
    pub entries: BTreeMap<MemberId, MemberEntry>,
    /// Aliases that have left their subsets. Attempts at these aliases that have not started must not start.
    pub removed_aliases: Vec<MemberId>,
    /// Whether requests without an attempt in flight have to be routed again.
    pub reroute: bool,
    /// Time at which [`placement::Event::TimerExpired`] is due.
    pub timer: Option<Time>,
}

/// The role that an endpoint has reported.
#[derive(Clone, Copy, Debug)]
pub struct ReportedRole {
    /// Whether the endpoint reported that it is the primary of its group.
    pub primary: bool,
    /// Type of message that contained the report.
    pub source: ReportSource,
}

/// Result of routing a request.
pub struct RoutingResult {
    /// Group or placement subset whose members may serve the request, or the reason for which none may.
    pub group: Result<GroupId, PlacementError>,
    /// Subset changes caused by routing the request.
    pub change: SubsetChange,
}

/// Effects of the outcome of an attempt or a probe on placement subsets.
#[derive(Default)]
pub struct OutcomeEffects {
    /// Subset changes caused by the outcome.
    pub change: SubsetChange,
    /// Other member IDs of the same endpoint that have to receive the outcome.
    pub to_notify: Vec<MemberId>,
}
