//! The fleet, and which of its changes the routers' endpoint list has been notified of.
use super::router::Router;
use crate::fleet::Fleet;
use routing::{EndpointEntry, MemberState};
use std::collections::{BTreeMap, HashMap};

/// The fleet, and what the endpoint list has been notified of.
pub(super) struct ListState {
    pub(super) fleet: Fleet,
    /// What the endpoint list holds, by id.
    listed: HashMap<String, EndpointEntry>,
    /// Changes that the endpoint list has not been notified of, in order.
    pub(super) pending: Vec<EndpointEntry>,
    /// One of the pending changes must not wait for others.
    pub(super) urgent: bool,
    /// The version of the last update.
    pub(super) version: u64,
    /// Routers that are registered, by name.
    pub(super) routers: BTreeMap<String, Router>,
    /// When the registry last answered, in microseconds of the clock.
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

    /// Takes the pending changes, the newest of each endpoint, in the order in which those were made.
    pub(super) fn take_newest(&mut self) -> Vec<EndpointEntry> {
        let mut newest: BTreeMap<String, (usize, EndpointEntry)> = BTreeMap::new();
        for (position, entry) in std::mem::take(&mut self.pending).into_iter().enumerate() {
            newest.insert(entry.id.clone(), (position, entry));
        }
        let mut entries: Vec<(usize, EndpointEntry)> = newest.into_values().collect();
        entries.sort_by_key(|(position, _)| *position);
        entries.into_iter().map(|(_, entry)| entry).collect()
    }
}
