//! The state machine that follows a registry: a snapshot at one revision, then all later changes in order and
//! without duplicates. After a disconnect the watch resumes at the last applied revision, or with a new
//! snapshot if that revision has been compacted. Changes older than the current state are never applied,
//! except after a restore from a backup.
//!
//! The state machine does no I/O, reads no clock and starts no thread: its actions depend only on the events
//! and their times.
mod snapshot;

use decision::{Micros, Time};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// A registry's revision (etcd) or index (Consul). It increases with each change.
pub type Revision = u64;

/// A registry member, as its index in the configured list of addresses.
pub type EndpointIndex = usize;

/// A key of the registry with its value and revisions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The full key, including the prefix.
    pub key: String,
    /// The value; the state machine does not interpret it.
    pub value: Vec<u8>,
    /// The revision at which the key was created. If it differs from the known one, the key was deleted in
    /// between.
    pub created: Revision,
    /// The revision of the last modification.
    pub modified: Revision,
}

/// A change of one key in the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A key was set.
    Put(Item),
    /// A key was deleted.
    Delete {
        /// The deleted key.
        key: String,
        /// The revision of the deletion.
        revision: Revision,
    },
}

impl Change {
    /// The key that was set or deleted.
    pub fn key(&self) -> &str {
        match self {
            Change::Put(item) => &item.key,
            Change::Delete { key, .. } => key,
        }
    }

    /// The revision at which the key was set or deleted.
    pub fn revision(&self) -> Revision {
        match self {
            Change::Put(item) => item.modified,
            Change::Delete { revision, .. } => *revision,
        }
    }
}

/// Settings of a [`Machine`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// If all reachable members have been behind the known revision for this long, the registry is considered
    /// restored from a backup.
    pub restored_after: Micros,
    /// Limit for remembered deletions; they distinguish a repeated change from a late one.
    pub max_tombstones: usize,
}

/// An input of the machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// A registry member responded with its cluster ID and revision.
    MemberReached {
        /// The registry member that responded.
        endpoint: EndpointIndex,
        /// The cluster ID; 0 for Consul, which has none.
        cluster: u64,
        /// The revision of the member's data.
        revision: Revision,
    },
    /// All keys under the prefix at one revision.
    Snapshot {
        /// The registry member that sent the snapshot.
        endpoint: EndpointIndex,
        /// The ID of the member's cluster.
        cluster: u64,
        /// The revision of the snapshot.
        revision: Revision,
        /// All keys under the prefix.
        items: Vec<Item>,
    },
    /// A watch delivered changes.
    Changes {
        /// The registry member whose watch delivered the changes.
        endpoint: EndpointIndex,
        /// The changes in the order of delivery.
        changes: Vec<Change>,
    },
    /// A watch has delivered all changes up to this revision.
    Progress {
        /// The registry member whose watch delivered the changes.
        endpoint: EndpointIndex,
        /// The revision up to which all changes have been delivered.
        revision: Revision,
    },
    /// The revision from which the watch was to resume has been compacted.
    Compacted {
        /// The registry member on which the watch was to resume.
        endpoint: EndpointIndex,
    },
    /// A read showed changes that the watch did not deliver; the next member has to be read in full.
    ChangesMissed,
}

/// Why a registry member is not followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaveReason {
    /// The member's revision is older than the newest known one.
    Behind {
        /// The revision of the registry member's data.
        theirs: Revision,
        /// The newest revision known to the router.
        ours: Revision,
    },
    /// The member belongs to another cluster.
    OtherCluster {
        /// The member's cluster ID.
        theirs: u64,
        /// The ID of the followed cluster.
        ours: u64,
    },
}

/// An action that the machine requests; the caller performs them in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read all keys from this registry member.
    Read {
        /// The registry member to read from.
        endpoint: EndpointIndex,
    },
    /// Watch this registry member for changes from a revision on.
    Watch {
        /// The registry member to watch.
        endpoint: EndpointIndex,
        /// The first revision to deliver.
        from: Revision,
    },
    /// Stop following this registry member and connect to another one.
    Leave {
        /// The registry member to stop following.
        endpoint: EndpointIndex,
        /// Why the member must not be followed.
        reason: LeaveReason,
    },
    /// The registry was restored from a backup or replaced. The actions that follow carry older data than
    /// before.
    Restored,
    /// A key was created or its value changed.
    Put(Item),
    /// A key was deleted.
    Deleted {
        /// The deleted key.
        key: String,
    },
    /// The keys now equal those of the registry at this revision.
    Synchronized {
        /// The registry's revision that the keys now equal.
        revision: Revision,
    },
}

/// The known state of a key.
struct Entry {
    created: Revision,
    modified: Revision,
    value: Vec<u8>,
}

/// The state machine that follows one registry.
pub struct Machine {
    settings: Settings,
    cluster: u64,
    revision: Revision,
    entries: BTreeMap<String, Entry>,
    /// Deleted keys with the revision of their deletion.
    tombstones: HashMap<String, Revision>,
    /// The tombstones in the order of deletion; an entry is outdated if its key was deleted again later.
    tombstone_order: VecDeque<(String, Revision)>,
    /// A snapshot has been applied since the start.
    has_snapshot: bool,
    /// Since when every member that responded has been behind or in another cluster.
    behind_since: Option<Time>,
    /// The registry was restored: the next snapshot is applied although its revision is lower.
    is_restoring: bool,
    /// Changes are missing or were received out of order: the keys match no revision until the next snapshot.
    needs_snapshot: bool,
}

impl Machine {
    /// Creates a machine without keys.
    pub fn new(settings: Settings) -> Machine {
        Machine {
            settings,
            cluster: 0,
            revision: 0,
            entries: BTreeMap::new(),
            tombstones: HashMap::new(),
            tombstone_order: VecDeque::new(),
            has_snapshot: false,
            behind_since: None,
            is_restoring: false,
            needs_snapshot: false,
        }
    }

    /// The registry revision that the known keys correspond to.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The ID of the followed cluster; 0 if unknown.
    pub fn cluster(&self) -> u64 {
        self.cluster
    }

    /// All keys with their values.
    pub fn items(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.entries.iter().map(|(key, entry)| (key.as_str(), entry.value.as_slice()))
    }

    /// The number of known keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// All keys with their values and revisions.
    pub fn all_items(&self) -> impl Iterator<Item = Item> {
        let item = |(key, entry): (&String, &Entry)| Item {
            key: key.clone(),
            value: entry.value.clone(),
            created: entry.created,
            modified: entry.modified,
        };
        self.entries.iter().map(item)
    }

    /// Loads the keys saved by an earlier process; the first snapshot brings them up to date.
    pub fn load_saved(&mut self, items: impl IntoIterator<Item = Item>) {
        for Item { key, value, created, modified } in items {
            self.entries.insert(key, Entry { created, modified, value });
        }
    }

    /// Handles an event that occurred at `now`, and appends the requested actions to `actions`.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::MemberReached { endpoint, cluster, revision } => {
                if self.may_follow(now, endpoint, cluster, revision, actions) {
                    actions.push(self.first_action(endpoint));
                }
            }
            Event::Snapshot { endpoint, cluster, revision, items } => {
                if self.may_follow(now, endpoint, cluster, revision, actions) {
                    self.apply_snapshot(cluster, revision, items, actions);
                    actions.push(Action::Watch { endpoint, from: self.revision + 1 });
                }
            }
            Event::Changes { endpoint, changes } => self.apply_changes(endpoint, changes, actions),
            Event::Progress { endpoint, revision } => self.apply_progress(endpoint, revision, actions),
            Event::Compacted { endpoint } => {
                self.needs_snapshot = true;
                actions.push(Action::Read { endpoint });
            }
            Event::ChangesMissed => self.needs_snapshot = true,
        }
    }

    /// The first action for a member that may be followed: a full read, or a watch from the known revision.
    fn first_action(&self, endpoint: EndpointIndex) -> Action {
        if self.is_restoring || self.needs_snapshot || !self.has_snapshot {
            Action::Read { endpoint }
        } else {
            Action::Watch { endpoint, from: self.revision + 1 }
        }
    }

    /// Whether a member at that revision may be followed. A single member that is behind may only lag; if all
    /// members are behind for [`Settings::restored_after`], the registry itself was restored.
    fn may_follow(
        &mut self,
        now: Time,
        endpoint: EndpointIndex,
        cluster: u64,
        revision: Revision,
        actions: &mut Vec<Action>,
    ) -> bool {
        if self.is_restoring {
            return true;
        }
        let is_other_cluster = self.has_snapshot && cluster != self.cluster;
        let is_behind = self.has_snapshot && revision < self.revision;
        if !is_other_cluster && !is_behind {
            self.behind_since = None;
            return true;
        }
        // `behind_since` is reset by each member that is up to date, so none has been since then.
        let since = *self.behind_since.get_or_insert(now);
        if now.0 - since.0 >= self.settings.restored_after {
            self.is_restoring = true;
            return true;
        }
        let reason = if is_other_cluster {
            LeaveReason::OtherCluster { theirs: cluster, ours: self.cluster }
        } else {
            LeaveReason::Behind { theirs: revision, ours: self.revision }
        };
        actions.push(Action::Leave { endpoint, reason });
        false
    }

    fn apply_progress(&mut self, endpoint: EndpointIndex, revision: Revision, actions: &mut Vec<Action>) {
        if self.needs_snapshot {
            return;
        }
        if revision < self.revision {
            // The member has delivered all it has, and its revision is still older than the known one.
            let reason = LeaveReason::Behind { theirs: revision, ours: self.revision };
            return actions.push(Action::Leave { endpoint, reason });
        }
        self.revision = revision;
        actions.push(Action::Synchronized { revision });
    }

    fn apply_put(&mut self, item: Item, actions: &mut Vec<Action>) {
        let Item { key, value, created, modified } = item.clone();
        let is_recreated = |entry: &Entry| entry.created != created && entry.created != 0;
        if self.entries.get(&key).is_some_and(is_recreated) {
            // Deleted and created again in between, so the key now stands for a new object.
            actions.push(Action::Deleted { key: key.clone() });
        }
        self.entries.insert(key, Entry { created, modified, value });
        actions.push(Action::Put(item));
    }

    fn apply_delete(&mut self, key: String, revision: Revision, actions: &mut Vec<Action>) {
        if self.entries.remove(&key).is_some() {
            actions.push(Action::Deleted { key: key.clone() });
        }
        self.tombstones.insert(key.clone(), revision);
        self.tombstone_order.push_back((key, revision));
        if self.tombstone_order.len() > self.settings.max_tombstones
            && let Some((key, revision)) = self.tombstone_order.pop_front()
            && self.tombstones.get(&key) == Some(&revision)
        {
            self.tombstones.remove(&key);
        }
    }

    fn apply_changes(&mut self, endpoint: EndpointIndex, changes: Vec<Change>, actions: &mut Vec<Action>) {
        for change in changes {
            let revision = change.revision();
            if self.newest_change(change.key()).is_some_and(|newest| newest >= revision) {
                // A repeated change, or a newer change of the same key has already been applied.
                continue;
            }
            if revision < self.revision {
                let deletes_nothing =
                    matches!(&change, Change::Delete { key, .. } if !self.entries.contains_key(key));
                if deletes_nothing {
                    continue;
                }
                // A later change has already been applied, so the order of the remaining changes is unknown.
                self.needs_snapshot = true;
                return actions.push(Action::Read { endpoint });
            }
            match change {
                Change::Put(item) => self.apply_put(item, actions),
                Change::Delete { key, .. } => self.apply_delete(key, revision, actions),
            }
            self.revision = revision;
        }
        actions.push(Action::Synchronized { revision: self.revision });
    }

    /// The revision of the newest known change of a key.
    fn newest_change(&self, key: &str) -> Option<Revision> {
        let modified = self.entries.get(key).map(|entry| entry.modified);
        modified.max(self.tombstones.get(key).copied())
    }
}
