//! The members and the primary of a group, and its views.
use decision::GroupId;
use std::collections::BTreeSet;
use std::sync::Arc;

/// A group of the member list.
#[derive(Debug, Default)]
pub(super) struct Group {
    pub(super) members: BTreeSet<Arc<str>>,
    /// The member that last reported that it is the primary.
    pub(super) reported_primary: Option<Arc<str>>,
    /// The member that is treated as the primary.
    pub(super) primary: Option<Arc<str>>,
}

/// The members of a group that a boundary permits, which form a group with its own number.
#[derive(Debug)]
pub(super) struct View {
    pub(super) number: GroupId,
    pub(super) members: BTreeSet<Arc<str>>,
    pub(super) has_ready_member: bool,
}
