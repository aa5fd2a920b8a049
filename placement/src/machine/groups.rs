//! A group's members and primary, and the views of it.
use decision::GroupId;
use std::collections::BTreeSet;
use std::sync::Arc;

/// A group as the member list has it.
#[derive(Debug, Default)]
pub(super) struct Group {
    pub(super) members: BTreeSet<Arc<str>>,
    /// The member that last reported that it is the primary.
    pub(super) claimed_primary: Option<Arc<str>>,
    /// The member that is treated as the primary.
    pub(super) primary: Option<Arc<str>>,
}

/// A boundary's part of a group.
#[derive(Debug)]
pub(super) struct View {
    pub(super) number: GroupId,
    pub(super) members: BTreeSet<Arc<str>>,
    pub(super) has_ready_member: bool,
}
