//! The state machine's record of one member.
use crate::interface::Member;
use decision::{GroupId, MemberState, Time};
use std::collections::BTreeSet;
use std::sync::Arc;

/// The state of a member, from the member list and from the member's own reports.
#[derive(Debug)]
pub(super) struct MemberRecord {
    pub(super) group: GroupId,
    pub(super) site: Option<Arc<str>>,
    /// After a change of site: the time from which the new site counts. Until then the member is outside
    /// every boundary.
    pub(super) site_settles_at: Option<Time>,
    pub(super) state: MemberState,
    /// When the member left the member list. The record is retained for the site settle time, so that a
    /// return at another site counts as a change of site.
    pub(super) left_at: Option<Time>,
    pub(super) is_listed_primary: bool,
    /// The member has reported that it is not the primary, and the list has not newly named it primary since.
    pub(super) denies_primary: bool,
    /// When a response last reported that the member is not the primary.
    pub(super) denied_primary_at: Option<Time>,
    pub(super) is_reachable: bool,
}

impl MemberRecord {
    /// Creates a record from a member's first entry in the list.
    pub(super) fn new(entry: &Member) -> MemberRecord {
        MemberRecord {
            group: entry.group,
            site: entry.site.clone(),
            site_settles_at: None,
            state: entry.state,
            left_at: None,
            is_listed_primary: entry.primary,
            denies_primary: false,
            denied_primary_at: None,
            is_reachable: true,
        }
    }

    /// Whether the member's site is one of `sites` and has not changed within the settle time.
    pub(super) fn is_inside(&self, sites: &BTreeSet<String>) -> bool {
        self.site_settles_at.is_none() && self.site.as_deref().is_some_and(|site| sites.contains(site))
    }

    /// Whether the member is in service.
    pub(super) fn is_ready(&self) -> bool {
        self.state == MemberState::Ready
    }

    /// The member's site as text for an error message.
    pub(super) fn describe_site(&self) -> String {
        match (&self.site, self.site_settles_at) {
            (Some(site), None) => site.to_string(),
            (Some(site), Some(_)) => format!("{site} (since a moment ago)"),
            (None, _) => "a site that is not known".into(),
        }
    }
}
