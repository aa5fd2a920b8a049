//! What is known of one member.
use crate::interface::Member;
use decision::{GroupId, MemberState, Time};
use std::collections::BTreeSet;
use std::sync::Arc;

/// What is known of a member.
#[derive(Debug)]
pub(super) struct MemberRecord {
    pub(super) group: GroupId,
    pub(super) site: Option<Arc<str>>,
    /// The site has changed: until then the member is outside of every boundary.
    pub(super) site_settles_at: Option<Time>,
    pub(super) state: MemberState,
    /// When it left the list. Its site is remembered for as long as a change of it would have to be noticed.
    pub(super) left_at: Option<Time>,
    pub(super) is_listed_primary: bool,
    /// It has reported that it is not the primary, since the list last began to name it as that.
    pub(super) denies_primary: bool,
    /// When a response last reported that it is not the primary.
    pub(super) denied_primary_at: Option<Time>,
    pub(super) is_reachable: bool,
}

impl MemberRecord {
    /// A member that the list has named for the first time.
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

    /// Whether its site is one of these, and has been for long enough.
    pub(super) fn is_inside(&self, sites: &BTreeSet<String>) -> bool {
        self.site_settles_at.is_none() && self.site.as_deref().is_some_and(|site| sites.contains(site))
    }

    /// Whether it is in service.
    pub(super) fn is_ready(&self) -> bool {
        self.state == MemberState::Ready
    }

    /// The site in words, for an error message.
    pub(super) fn describe_site(&self) -> String {
        match (&self.site, self.site_settles_at) {
            (Some(site), None) => site.to_string(),
            (Some(site), Some(_)) => format!("{site} (since a moment ago)"),
            (None, _) => "a site that is not known".into(),
        }
    }
}
