//! The node list that is made of a registry's keys, and what of it still holds: when a key is faulty, when half of the
//! list vanishes at once, when the registry is silent, when it was restored from a backup.
//!
//! No I/O, no clock, no threads: the same events at the same times give the same actions.
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
    /// Networks that nodes may be in; any network where none is named.
    pub allow: Vec<IpNet>,
    /// Networks that nodes may not be in.
    pub deny: Vec<IpNet>,
    /// While the registry has been silent for no longer than this, every node is used.
    pub max_fresh_age: Micros,
    /// Then only nodes that have answered since; and after this time, where it is set, none.
    pub max_usable_age: Option<Micros>,
    /// Where more than this share of the nodes in service vanishes within the window, the rest that vanishes is retained.
    pub mass_removal_share: f64,
    /// The window of that share.
    pub mass_removal_window: Micros,
    /// How long nodes are retained.
    pub mass_removal_delay: Micros,
}

/// An input of the fleet.
#[derive(Clone, Debug)]
pub enum Event {
    /// A node's key has this value.
    Put {
        /// The node's name.
        name: String,
        /// The key's value.
        item: Item,
    },
    /// A node's key was deleted.
    KeyDeleted {
        /// The node's name.
        name: String,
    },
    /// The registry was restored from a backup: what follows is older than what was known.
    Restored,
    /// The registry has responded, with or without changes.
    RegistryResponded,
    /// A node has responded to this router.
    NodeResponded {
        /// The node's name.
        name: String,
    },
    /// An operator confirms that the nodes that vanished are to be removed.
    ReleaseRetained,
    /// Time passes.
    Tick,
}

/// An output of the fleet, to be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Put a node on the endpoint list or change it there.
    List {
        /// Its id, which no other node has ever had.
        id: String,
        /// The node.
        node: Node,
    },
    /// Take a node off the endpoint list.
    Unlist {
        /// Its id.
        id: String,
    },
    /// A node's key can't be used; its value from before stays in force.
    InvalidNode {
        /// The node's name.
        name: String,
        /// Why the key can't be used.
        reason: String,
    },
    /// Too many nodes vanished at once: from now on they are retained for a while.
    MassRemovalDelayed {
        /// The number of nodes in service before.
        nodes: usize,
    },
    /// Nodes are retained no longer.
    RetainedReleased {
        /// How many.
        nodes: usize,
    },
    /// What the list may be used for has changed.
    LevelChanged(Level),
}

/// What the list may be used for at its age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Level {
    /// Every node gets new requests.
    Fresh,
    /// Only nodes that have answered since the registry last did.
    KnownGood,
    /// No node.
    TooOld,
}

/// What is known of a node.
#[derive(Clone, Debug)]
struct Entry {
    node: Node,
    /// Its id on the endpoint list: the name with the revision at which the key was created.
    id: String,
    created: u64,
    modified: u64,
    /// Its key has vanished, and the node is retained until then.
    retained_until: Option<Time>,
    /// It drained before the registry went back, and its key has not changed since: it stays drained.
    is_fenced: bool,
    /// When it last responded to this router; before its first response, when its key was read.
    responded_at: Time,
    /// Its state on the endpoint list; `None` before it is put there.
    listed_state: Option<State>,
}

impl Entry {
    fn is_serving(&self) -> bool {
        self.node.state == State::InService && self.retained_until.is_none()
    }
}

/// Removed nodes whose names are remembered.
const MAX_REMOVED_NAMES: usize = 4096;

/// The nodes of a registry.
pub struct Fleet {
    settings: Settings,
    nodes: BTreeMap<String, Entry>,
    /// Names of nodes whose newest value can't be used.
    invalid: BTreeSet<String>,
    /// When nodes vanished within the last window.
    vanished: VecDeque<Time>,
    /// When the registry last answered.
    last_contact: Option<Time>,
    level: Level,
    /// Nodes that were drained or removed when the registry went back, and whose key has not come since.
    drained_before_restore: BTreeSet<String>,
    /// Nodes that were removed, the newest last: a restored backup may bring them back.
    removed: VecDeque<String>,
    /// Nodes that vanish are being retained.
    is_retaining: bool,
    /// The number of nodes in service that are not retained.
    serving: usize,
}

impl Fleet {
    /// A fleet without nodes.
    pub fn new(settings: Settings) -> Fleet {
        Fleet {
            settings,
            nodes: BTreeMap::new(),
            invalid: BTreeSet::new(),
            vanished: VecDeque::new(),
            last_contact: None,
            level: Level::Fresh,
            drained_before_restore: BTreeSet::new(),
            removed: VecDeque::new(),
            is_retaining: false,
            serving: 0,
        }
    }

    /// What the list may be used for.
    pub fn level(&self) -> Level {
        self.level
    }

    /// Names and nodes, each with its state on the endpoint list.
    pub fn nodes(&self) -> impl Iterator<Item = (&str, &Node, Option<State>)> {
        self.nodes.iter().map(|(name, entry)| (name.as_str(), &entry.node, entry.listed_state))
    }

    /// The number of nodes that vanished and are retained.
    pub fn retained_count(&self) -> usize {
        self.nodes.values().filter(|entry| entry.retained_until.is_some()).count()
    }

    /// Names of nodes whose newest value can't be used.
    pub fn invalid_names(&self) -> impl Iterator<Item = &str> {
        self.invalid.iter().map(String::as_str)
    }

    /// Handles an event at a time, and appends what is to be done to `actions`.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Put { name, item } => self.key_put(now, name, &item, actions),
            Event::KeyDeleted { name } => self.key_deleted(now, &name, actions),
            Event::Restored => self.fence_drained(),
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

    /// Remembers the nodes that an older registry must not put back into service.
    fn fence_drained(&mut self) {
        let is_drained = |entry: &Entry| entry.node.state != State::InService || entry.is_fenced;
        let drained = self.nodes.iter().filter(|(_, entry)| is_drained(entry));
        self.drained_before_restore = drained.map(|(name, _)| name.clone()).collect();
        self.drained_before_restore.extend(self.removed.drain(..));
    }

    fn key_put(&mut self, now: Time, name: String, item: &Item, actions: &mut Vec<Action>) {
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
        // A key that was created again, or whose address has changed, is another node under the same name.
        let same = old.filter(|old| old.created == item.created && old.node.addr == node.addr);
        if let Some(old) = old.filter(|old| same.is_none() && old.listed_state != Some(State::Gone)) {
            // What was learned of the old one says nothing of the new one.
            actions.push(Action::Unlist { id: old.id.clone() });
        }
        let entry = Entry {
            id: same.map_or_else(|| new_id(&name, item, old), |same| same.id.clone()),
            created: item.created,
            modified: item.modified,
            retained_until: None,
            // It may have been drained after the backup was made: only a newer change puts it back.
            is_fenced: was_drained || same.is_some_and(|s| s.is_fenced && s.modified >= item.modified),
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

/// The id of a node that no node has had before, also where only the address of a key has changed.
fn new_id(name: &str, item: &Item, old: Option<&Entry>) -> String {
    if old.is_some_and(|old| old.created == item.created) {
        format!("{name}@{}.{}", item.created, item.modified)
    } else {
        format!("{name}@{}", item.created)
    }
}
