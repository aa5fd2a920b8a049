//! The entries of the endpoint list, its updates, and the operators' maintenance mask.
use decision::{GroupId, MemberState, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// One endpoint: a database server of a group.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// Its id, the same after a restart.
    pub id: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its group.
    pub group: GroupId,
    /// Its zone.
    pub zone: u32,
    /// Its site, for tenants whose data must not leave certain sites; unknown is outside of all of them.
    pub site: Option<Arc<str>>,
    /// Its state.
    pub state: MemberState,
    /// The list names it as the primary of its group.
    pub listed_primary: bool,
    /// Its size relative to others.
    pub weight: f64,
    /// Its last start; `None` means long ago.
    pub started_at: Option<Time>,
}

/// An update of the endpoint list: the complete list, or changes.
#[derive(Clone, Debug)]
pub struct EndpointUpdate {
    /// The list's version with this update applied.
    pub version: u64,
    /// This is the complete list: endpoints that it lacks are gone.
    pub complete: bool,
    /// The endpoints.
    pub endpoints: Vec<EndpointEntry>,
}

/// How an update follows the ones before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum UpdateOrder {
    /// No update is missing in between: a watch that resumes after its version misses nothing.
    #[default]
    Consecutive,
    /// Updates may be missing before it. It is applied, but a watch still resumes from before it.
    AfterGap,
    /// Its source has restarted its version numbers: the update is newer than the list whatever its version.
    VersionsRestarted,
}

/// Maintenance that operators have requested, applied on top of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MaintenanceMask {
    /// In maintenance: shown as draining while they are listed as ready.
    pub in_maintenance: BTreeSet<String>,
    /// Returned from maintenance at these times, perhaps after a restart that the list does not mention: warming up at
    /// least from then on.
    pub restored_at: BTreeMap<String, Time>,
}

impl MaintenanceMask {
    /// The endpoint as it is shown under this mask.
    pub(crate) fn apply(&self, endpoint: &EndpointEntry) -> EndpointEntry {
        let mut shown = endpoint.clone();
        if shown.state == MemberState::Ready && self.in_maintenance.contains(&shown.id) {
            shown.state = MemberState::Draining;
        }
        shown.started_at = shown.started_at.max(self.restored_at.get(&shown.id).copied());
        shown
    }

    /// The groups in which no listed endpoint is ready and at least one is in maintenance: requests need not wait for
    /// an endpoint there.
    pub(crate) fn unavailable_groups(&self, listed: &BTreeMap<String, EndpointEntry>) -> BTreeSet<GroupId> {
        let in_maintenance = listed.values().filter(|e| self.in_maintenance.contains(&e.id));
        let mut groups: BTreeSet<GroupId> = in_maintenance.map(|e| e.group).collect();
        for ready in listed.values().filter(|e| self.apply(e).state == MemberState::Ready) {
            groups.remove(&ready.group);
        }
        groups
    }
}
