//! The fleet's state machine and the changes that still have to be sent to the routers' endpoint list.
use super::router::Router;
use crate::fleet::Fleet;
use routing::{EndpointEntry, MemberState};
use std::collections::{BTreeMap, HashMap};

/// The fleet's state machine and the changes to be sent to the endpoint list.
pub(super) struct ListState {
    pub(super) fleet: Fleet,
    /// The entries of the endpoint list by ID, including pending changes.
    listed: HashMap<String, EndpointEntry>,
    /// Changes that have not been sent to the endpoint list, in order.
    pub(super) pending: Vec<EndpointEntry>,
    /// Whether a pending change must be sent without waiting for the debounce interval.
    pub(super) urgent: bool,
    /// The version of the last update sent.
    pub(super) version: u64,
    /// The registered routers by name.
    pub(super) routers: BTreeMap<String, Router>,
    /// When the registry last responded, in microseconds of the client's clock.
    pub(super) last_contact: Option<i64>,
}

impl ListState {
    pub(super) fn new(fleet: Fleet) -> ListState {
        ListState {
            fleet,
            listed: HashMap::new(),
            pending: Vec::new(),
            urgent: false,
            version: 0,
            routers: BTreeMap::new(),
            last_contact: None,
        }
    }

    /// Adds or changes an endpoint.
    pub(super) fn list(&mut self, entry: EndpointEntry, urgent: bool) {
        self.urgent |= urgent;
        self.listed.insert(entry.id.clone(), entry.clone());
        self.pending.push(entry);
    }

    /// Removes an endpoint, if it is listed.
    pub(super) fn unlist(&mut self, id: &str) {
        if let Some(entry) = self.listed.remove(id) {
            self.urgent = true;
            self.pending.push(EndpointEntry { state: MemberState::Removed, ..entry });
        }
    }

    /// Takes the pending changes: the newest one of each endpoint, in the order in which these were made.
    pub(super) fn take_newest(&mut self) -> Vec<EndpointEntry> {
        let mut newest: BTreeMap<String, (usize, EndpointEntry)> = BTreeMap::new();
        for (index, entry) in std::mem::take(&mut self.pending).into_iter().enumerate() {
            newest.insert(entry.id.clone(), (index, entry));
        }
        let mut entries: Vec<(usize, EndpointEntry)> = newest.into_values().collect();
        entries.sort_by_key(|(index, _)| *index);
        entries.into_iter().map(|(_, entry)| entry).collect()
    }
}
