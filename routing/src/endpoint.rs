//! Entries of the endpoint list, updates to the list, and the operators' maintenance mask.
use decision::{GroupId, MemberState, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// An entry of the endpoint list: one database server of a replication group.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// Endpoint ID, which stays the same across restarts.
    pub id: String,
    /// Address of the endpoint.
    pub addr: SocketAddr,
    /// Replication group of the endpoint.
    pub group: GroupId,
    /// Zone of the endpoint.
    pub zone: u32,
    /// Site of the endpoint, for placement rules that restrict a tenant's data to certain sites. An unknown
    /// site is outside all of them.
    pub site: Option<Arc<str>>,
    /// Whether the endpoint is ready, draining or removed.
    pub state: MemberState,
    /// Whether the list marks the endpoint as the primary of its group.
    pub listed_primary: bool,
    /// Capacity relative to other endpoints.
    pub weight: f64,
    /// Time of the last start; `None` if the endpoint was started long ago.
    pub started_at: Option<Time>,
}

/// An update to the endpoint list: either the complete list or only the changed entries.
#[derive(Clone, Debug)]
pub struct EndpointUpdate {
    /// Version of the list after this update.
    pub version: u64,
    /// Whether this is the complete list. Endpoints that are missing from a complete list have been removed.
    pub complete: bool,
    /// Entries of the update.
    pub endpoints: Vec<EndpointEntry>,
}

/// How the version of an update relates to the versions of earlier updates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum UpdateOrder {
    /// No updates were missed. A watch that resumes after this version misses nothing.
    #[default]
    Consecutive,
    /// Earlier updates may have been missed. The update is applied, but a watch still resumes from the
    /// version before the gap.
    AfterGap,
    /// The source has restarted its version numbers, so the update is newer than the list regardless of its
    /// version.
    VersionsRestarted,
}

/// Maintenance that operators have requested, which overrides the states in the endpoint list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MaintenanceMask {
    /// IDs of endpoints in maintenance, which are treated as draining while they are listed as ready.
    pub in_maintenance: BTreeSet<String>,
    /// IDs of endpoints that returned from maintenance, with the time of the return. Such an endpoint may
    /// have restarted without the list mentioning it, so its slow start begins no earlier than this time.
    pub restored_at: BTreeMap<String, Time>,
}

impl MaintenanceMask {
    /// Returns the endpoint with this mask applied.
    pub(crate) fn apply(&self, endpoint: &EndpointEntry) -> EndpointEntry {
        let mut masked = endpoint.clone();
        if masked.state == MemberState::Ready && self.in_maintenance.contains(&masked.id) {
            masked.state = MemberState::Draining;
        }
        masked.started_at = masked.started_at.max(self.restored_at.get(&masked.id).copied());
        masked
    }

    /// Returns the groups that have no ready endpoint and at least one endpoint in maintenance. Requests for
    /// these groups are rejected immediately instead of waiting for an endpoint.
    pub(crate) fn unavailable_groups(&self, listed: &BTreeMap<String, EndpointEntry>) -> BTreeSet<GroupId> {
        let in_maintenance = listed.values().filter(|e| self.in_maintenance.contains(&e.id));
        let mut groups: BTreeSet<GroupId> = in_maintenance.map(|e| e.group).collect();
        for ready in listed.values().filter(|e| self.apply(e).state == MemberState::Ready) {
            groups.remove(&ready.group);
        }
        groups
    }
}
