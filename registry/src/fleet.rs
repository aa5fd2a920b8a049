//! Builds the node list from the registry's keys, and decides which entries stay usable when a key is
//! invalid, when many nodes disappear at once, when the registry does not respond, and after the registry was
//! restored from a backup.
//!
//! The state machine does no I/O, reads no clock and starts no thread: its actions depend only on the events
//! and their times.
mod disappearance;
mod listing;
mod node;

pub use node::{Node, State};

use crate::machine::Item;
use decision::{Micros, Time};
use ipnet::IpNet;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Settings of a [`Fleet`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Networks that node addresses must belong to; empty allows any network.
    pub allow: Vec<IpNet>,
    /// Networks that node addresses must not belong to.
    pub deny: Vec<IpNet>,
    /// Up to this time since the registry's last response every node is used.
    pub max_fresh_age: Micros,
    /// Between `max_fresh_age` and this time only nodes that have responded since the registry's last
    /// response are used; after this time, if set, no node is used.
    pub max_usable_age: Option<Micros>,
    /// If more than this share of the nodes in service disappears within the window, further nodes that
    /// disappear are retained.
    pub mass_removal_share: f64,
    /// The time window in which disappearances are counted.
    pub mass_removal_window: Micros,
    /// How long nodes that disappeared are retained.
    pub mass_removal_delay: Micros,
}

/// An input event of the fleet's state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// A node's key was created or its value changed.
    Put {
        /// The name of the node whose key was created or changed.
        name: String,
        /// The key with its value.
        item: Item,
    },
    /// A node's key was deleted.
    KeyDeleted {
        /// The name of the node whose key was deleted.
        name: String,
    },
    /// The registry was restored from a backup; the events that follow carry older data than before.
    Restored,
    /// The registry responded, with or without changes.
    RegistryResponded,
    /// A node responded to a request of this router.
    NodeResponded {
        /// The name of the node that responded.
        name: String,
    },
    /// An operator confirmed the removal of the retained nodes.
    ReleaseRetained,
    /// Time has passed; checks whether delays have expired.
    Tick,
}

/// An action that the fleet requests; the caller performs them in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Add a node to the endpoint list or change its entry.
    List {
        /// The endpoint ID, which is never reused for another node.
        id: String,
        /// The node to add to the endpoint list or to update there.
        node: Node,
    },
    /// Remove a node from the endpoint list.
    Unlist {
        /// The endpoint ID of the node to remove.
        id: String,
    },
    /// A node's key has an invalid value; its last valid value stays in force.
    InvalidNode {
        /// The name of the node whose key has an invalid value.
        name: String,
        /// Why the value is invalid.
        reason: String,
    },
    /// Too many nodes disappeared at once; nodes that disappear from now on are retained for
    /// `mass_removal_delay`.
    MassRemovalDelayed {
        /// The number of nodes in service before the disappearances.
        nodes: usize,
    },
    /// Retained nodes were removed.
    RetainedReleased {
        /// The number of removed nodes.
        nodes: usize,
    },
    /// The level has changed, which determines the nodes that may be used.
    LevelChanged(Level),
}

/// Which nodes of the list may be used, given the time since the registry's last response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Level {
    /// The router uses every node of the list.
    Fresh,
    /// The router uses only nodes that have responded since the registry's last response.
    KnownGood,
    /// The router uses no node of the list.
    TooOld,
}

/// The known state of a node.
#[derive(Clone, Debug)]
struct Entry {
    node: Node,
    /// The endpoint ID: the name and the revision at which the key was created.
    id: String,
    created: u64,
    modified: u64,
    /// When the retained node is to be removed; `None` unless the node's key was deleted.
    retained_until: Option<Time>,
    /// The node was draining or removed when the registry was restored from a backup, and its key has not
    /// changed since: the node stays draining, whatever its key says.
    stays_drained: bool,
    /// When the node last responded to this router; until its first response, when its key was read.
    responded_at: Time,
    /// The node's state on the endpoint list; `None` before the node is added.
    listed_state: Option<State>,
}

impl Entry {
    fn is_serving(&self) -> bool {
        self.node.state == State::InService && self.retained_until.is_none()
    }
}

/// Limit for remembered names of removed nodes.
const MAX_REMOVED_NAMES: usize = 4096;

/// The state machine of the node list.
pub struct Fleet {
    settings: Settings,
    nodes: BTreeMap<String, Entry>,
    /// Names of nodes whose newest value is invalid.
    invalid: BTreeSet<String>,
    /// Times of the disappearances within the last window.
    disappearances: VecDeque<Time>,
    /// When the registry last responded.
    last_contact: Option<Time>,
    level: Level,
    /// Nodes that were draining or removed when the registry was restored, and whose keys have not been
    /// received since.
    drained_before_restore: BTreeSet<String>,
    /// Names of removed nodes, the newest last; a restore from a backup may recreate their keys.
    removed: VecDeque<String>,
    /// Nodes that disappear are currently retained.
    is_retaining: bool,
    /// The number of nodes in service that are not retained.
    serving: usize,
}

impl Fleet {
    /// Creates a fleet without nodes.
    pub fn new(settings: Settings) -> Fleet {
        Fleet {
            settings,
            nodes: BTreeMap::new(),
            invalid: BTreeSet::new(),
            disappearances: VecDeque::new(),
            last_contact: None,
            level: Level::Fresh,
            drained_before_restore: BTreeSet::new(),
            removed: VecDeque::new(),
            is_retaining: false,
            serving: 0,
        }
    }

    /// Which nodes may currently be used.
    pub fn level(&self) -> Level {
        self.level
    }

    /// All nodes with their names and their states on the endpoint list.
    pub fn nodes(&self) -> impl Iterator<Item = (&str, &Node, Option<State>)> {
        self.nodes.iter().map(|(name, entry)| (name.as_str(), &entry.node, entry.listed_state))
    }

    /// The number of retained nodes, whose keys were deleted.
    pub fn retained_count(&self) -> usize {
        self.nodes.values().filter(|entry| entry.retained_until.is_some()).count()
    }

    /// Names of nodes whose newest value is invalid.
    pub fn invalid_names(&self) -> impl Iterator<Item = &str> {
        self.invalid.iter().map(String::as_str)
    }

    /// Handles an event that occurred at `now`, and appends the requested actions to `actions`.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Put { name, item } => self.on_key_put(now, name, &item, actions),
            Event::KeyDeleted { name } => self.on_key_deleted(now, &name, actions),
            Event::Restored => self.record_drained(),
            Event::RegistryResponded => {
                self.last_contact = Some(now);
                self.update_level(now, actions);
            }
            Event::NodeResponded { name } => {
                if let Some(entry) = self.nodes.get_mut(&name) {
                    entry.responded_at = now;
                }
            }
            Event::ReleaseRetained => self.release_retained(|_| true, actions),
            Event::Tick => {
                self.release_retained(|until| until <= now, actions);
                self.update_level(now, actions);
            }
        }
    }

    /// Remembers the draining and removed nodes, which a restored registry must not put back into service.
    fn record_drained(&mut self) {
        let is_drained = |entry: &Entry| entry.node.state != State::InService || entry.stays_drained;
        let drained = self.nodes.iter().filter(|(_, entry)| is_drained(entry));
        self.drained_before_restore = drained.map(|(name, _)| name.clone()).collect();
        self.drained_before_restore.extend(self.removed.drain(..));
    }

    fn on_key_put(&mut self, now: Time, name: String, item: &Item, actions: &mut Vec<Action>) {
        let node = match node::parse(&item.value, &self.settings) {
            Ok(node) => node,
            Err(error) => {
                self.invalid.insert(name.clone());
                return actions.push(Action::InvalidNode { name, reason: error.to_string() });
            }
        };
        self.invalid.remove(&name);
        let was_drained = self.drained_before_restore.remove(&name);
        let old = self.nodes.get(&name);
        // A recreated key or a new address means a different node under the same name.
        let same = old.filter(|old| old.created == item.created && old.node.addr == node.addr);
        if let Some(old) = old.filter(|old| same.is_none() && old.listed_state != Some(State::Gone)) {
            // Measurements of the old node must not be applied to the new one, so it gets a new ID.
            actions.push(Action::Unlist { id: old.id.clone() });
        }
        let entry = Entry {
            id: same.map_or_else(|| new_id(&name, item, old), |same| same.id.clone()),
            created: item.created,
            modified: item.modified,
            retained_until: None,
            // The node may have been drained after the backup was taken: only a newer change of its key
            // puts it back into service.
            stays_drained: was_drained
                || same.is_some_and(|s| s.stays_drained && s.modified >= item.modified),
            responded_at: same.map_or(now, |same| same.responded_at),
            listed_state: same.and_then(|same| same.listed_state),
            node,
        };
        let has_changed = same.is_none_or(|same| same.node != entry.node || same.retained_until.is_some());
        self.insert(name.clone(), entry);
        self.update_listing(&name, has_changed, actions);
    }

    fn insert(&mut self, name: String, entry: Entry) {
        self.serving += usize::from(entry.is_serving());
        if let Some(old) = self.nodes.insert(name, entry) {
            self.serving -= usize::from(old.is_serving());
        }
    }

    fn remove(&mut self, name: &str, actions: &mut Vec<Action>) {
        let Some(entry) = self.nodes.remove(name) else { return };
        self.serving -= usize::from(entry.is_serving());
        self.removed.push_back(name.to_string());
        if self.removed.len() > MAX_REMOVED_NAMES {
            self.removed.pop_front();
        }
        if entry.listed_state != Some(State::Gone) {
            actions.push(Action::Unlist { id: entry.id });
        }
    }
}

/// Creates an endpoint ID that was never used before, even if only the address in the key changed.
fn new_id(name: &str, item: &Item, old: Option<&Entry>) -> String {
    if old.is_some_and(|old| old.created == item.created) {
        format!("{name}@{}.{}", item.created, item.modified)
    } else {
        format!("{name}@{}", item.created)
    }
}
