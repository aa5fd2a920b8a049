//! What goes in and out of the subsets: roles that endpoints state, and the changes that follow.
use decision::{MemberEntry, MemberId, Time};
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
    /// When [`placement::Event::TimerExpired`] is due.
    pub timer: Option<Time>,
}

/// An endpoint's role as it has stated it itself.
#[derive(Clone, Copy, Debug)]
pub struct StatedRole {
    /// It is its group's primary.
    pub primary: bool,
    /// Stated with a response; otherwise in answer to a probe.
    pub with_response: bool,
}
