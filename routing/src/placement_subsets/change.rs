//! Input and output of the subsets: the roles that endpoints state, and the changes that follow.
use decision::{GroupId, MemberEntry, MemberId, Time};
use placement::Refusal;
use std::collections::BTreeMap;

/// What the router actor has to do after a change.
#[derive(Default)]
pub struct SubsetChange {
    /// Members whose entries are new; by id, each once.
    pub entries: BTreeMap<MemberId, MemberEntry>,
    /// Aliases that have left their subsets: an attempt that has not started there must not start.
    pub departed: Vec<MemberId>,
    /// Requests without an attempt under way have to be routed again.
    pub reroute: bool,
    /// When [`placement::Event::Timer`] is due.
    pub timer: Option<Time>,
}

/// What a report of an endpoint came with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportSource {
    /// The response to a request.
    Response,
    /// The answer to a probe.
    Probe,
}

/// An endpoint's role as it has stated it itself.
#[derive(Clone, Copy, Debug)]
pub struct StatedRole {
    /// It is its group's primary.
    pub primary: bool,
    /// What it was stated in.
    pub source: ReportSource,
}

/// How a request is routed.
pub struct Routed {
    /// The group, perhaps a subset's, whose members may serve the request; or why none may.
    pub group: Result<GroupId, Refusal>,
    /// What routing it has changed.
    pub change: SubsetChange,
}

/// What follows from the outcome of an attempt or a probe.
#[derive(Default)]
pub struct OutcomeRecorded {
    /// What it has changed.
    pub change: SubsetChange,
    /// The other member ids of the endpoint, which have to be notified.
    pub to_notify: Vec<MemberId>,
}
