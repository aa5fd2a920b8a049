//! The state machine that follows a registry: the whole list at one revision, then changes from there, in order and
//! once each. A break resumes where it ended, or with everything where that revision is gone; an older one is never acted
//! on.
//!
//! No I/O, no clock, no threads: the same events at the same times give the same actions.
mod snapshot;

use decision::{Micros, Time};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// A registry's revision (etcd) or index (Consul). Rises with each change.
pub type Revision = u64;

/// A member of the registry, by its place in the settings.
pub type EndpointIndex = usize;

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The key, with its prefix.
    pub key: String,
    /// The value's bytes.
    pub value: Vec<u8>,
    /// The revision at which it was created; another one than before means that it was deleted in between.
    pub created: Revision,
    /// The revision at which it was last modified.
    pub modified: Revision,
}

/// One change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A key was set.
    Put(Item),
    /// A key was deleted.
    Delete {
        /// The key.
        key: String,
        /// The revision of the deletion.
        revision: Revision,
    },
}

impl Change {
    /// The key that changes.
    pub fn key(&self) -> &str {
        match self {
            Change::Put(item) => &item.key,
            Change::Delete { key, .. } => key,
        }
    }

    /// The revision of the change.
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
    /// A registry whose members have all been behind the revision here for this long was restored from a backup.
    pub restored_after: Micros,
    /// The most deletions that are remembered, to tell a repeated change from a late one.
    pub max_tombstones: usize,
}

/// An input of the machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// A member has been reached, and has named its cluster and revision.
    MemberReached {
        /// The member.
        endpoint: EndpointIndex,
        /// The cluster's id; 0 where the dialect has none.
        cluster: u64,
        /// Its revision.
        revision: Revision,
    },
    /// The whole list at one revision.
    Snapshot {
        /// The member.
        endpoint: EndpointIndex,
        /// The cluster's id.
        cluster: u64,
        /// The revision.
        revision: Revision,
        /// Everything under the prefix.
        items: Vec<Item>,
    },
    /// Changes that a watch brought.
    Changes {
        /// The member.
        endpoint: EndpointIndex,
        /// The changes, in order.
        changes: Vec<Change>,
    },
    /// The watch has brought everything up to this revision.
    Progress {
        /// The member.
        endpoint: EndpointIndex,
        /// The revision.
        revision: Revision,
    },
    /// The revision to resume from has been compacted away.
    Compacted {
        /// The member.
        endpoint: EndpointIndex,
    },
    /// Something has changed that no watch has brought: only a full read says what.
    ChangesMissed,
}

/// Why a member is not followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaveReason {
    /// Its revision is older than the one here.
    Behind {
        /// Its revision.
        theirs: Revision,
        /// Ours.
        ours: Revision,
    },
    /// It belongs to another cluster.
    OtherCluster {
        /// Its id.
        theirs: u64,
        /// The one that is followed.
        ours: u64,
    },
}

/// An output of the machine, to be carried out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read everything from this member.
    Read {
        /// The member.
        endpoint: EndpointIndex,
    },
    /// Watch from this revision on.
    Watch {
        /// The member.
        endpoint: EndpointIndex,
        /// The first revision that is wanted.
        from: Revision,
    },
    /// Go to another member.
    Leave {
        /// The member that is left.
        endpoint: EndpointIndex,
        /// Why it is left.
        reason: LeaveReason,
    },
    /// The registry was restored from a backup, or replaced: what follows is older than what was known.
    Restored,
    /// A key has this value now.
    Put(Item),
    /// A key was deleted.
    Deleted {
        /// The key.
        key: String,
    },
    /// The keys are now those of the registry at this revision.
    Synchronized {
        /// The revision.
        revision: Revision,
    },
}

/// What is known of a key.
struct Entry {
    created: Revision,
    modified: Revision,
    value: Vec<u8>,
}

/// Follows one registry.
pub struct Machine {
    settings: Settings,
    cluster: u64,
    revision: Revision,
    entries: BTreeMap<String, Entry>,
    /// Keys that were deleted, and at which revision.
    tombstones: HashMap<String, Revision>,
    /// The same in the order of deletion; may name keys that were deleted again since.
    tombstone_order: VecDeque<(String, Revision)>,
    /// A snapshot has been taken since the start.
    has_snapshot: bool,
    /// Since when every member that was reached has been behind or of another cluster.
    behind_since: Option<Time>,
    /// The next snapshot is taken although it is older.
    is_restoring: bool,
    /// Changes are missing or came out of order: the keys are those of no revision until the next snapshot.
    needs_snapshot: bool,
}

impl Machine {
    /// A machine without keys.
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

    /// The revision at which the registry had the keys that are held here.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The cluster that is followed; 0 for none.
    pub fn cluster(&self) -> u64 {
        self.cluster
    }

    /// All keys with their values.
    pub fn items(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.entries.iter().map(|(key, entry)| (key.as_str(), entry.value.as_slice()))
    }

    /// The number of keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no key.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// All keys with their values and revisions.
    pub fn all(&self) -> impl Iterator<Item = Item> {
        let item = |(key, entry): (&String, &Entry)| Item {
            key: key.clone(),
            value: entry.value.clone(),
            created: entry.created,
            modified: entry.modified,
        };
        self.entries.iter().map(item)
    }

    /// Begins with the keys of an earlier start: the first snapshot says what has become of them.
    pub fn begin_with(&mut self, items: impl IntoIterator<Item = Item>) {
        for Item { key, value, created, modified } in items {
            self.entries.insert(key, Entry { created, modified, value });
        }
    }

    /// Handles an event at a time, and appends what is to be done to `actions`.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::MemberReached { endpoint, cluster, revision } => {
                if self.admits(now, endpoint, cluster, revision, actions) {
                    actions.push(self.resume(endpoint));
                }
            }
            Event::Snapshot { endpoint, cluster, revision, items } => {
                if self.admits(now, endpoint, cluster, revision, actions) {
                    self.apply_snapshot(cluster, revision, items, actions);
                    actions.push(Action::Watch { endpoint, from: self.revision + 1 });
                }
            }
            Event::Changes { endpoint, changes } => self.apply_changes(endpoint, changes, actions),
            Event::Progress { endpoint, revision } => self.progress(endpoint, revision, actions),
            Event::Compacted { endpoint } => {
                self.needs_snapshot = true;
                actions.push(Action::Read { endpoint });
            }
            Event::ChangesMissed => self.needs_snapshot = true,
        }
    }

    /// How to go on with a member that may be followed.
    fn resume(&self, endpoint: EndpointIndex) -> Action {
        if self.is_restoring || self.needs_snapshot || !self.has_snapshot {
            Action::Read { endpoint }
        } else {
            Action::Watch { endpoint, from: self.revision + 1 }
        }
    }

    /// Whether a member at that revision may be followed. One that is behind may lag; where all are, for long enough,
    /// the registry itself has gone back.
    fn admits(
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
        // No member has been up to date since then: each one that is clears this.
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

    fn progress(&mut self, endpoint: EndpointIndex, revision: Revision, actions: &mut Vec<Action>) {
        if self.needs_snapshot {
            return;
        }
        if revision < self.revision {
            // It claims to have brought everything it has, and has less than there is here.
            let reason = LeaveReason::Behind { theirs: revision, ours: self.revision };
            return actions.push(Action::Leave { endpoint, reason });
        }
        self.revision = revision;
        actions.push(Action::Synchronized { revision });
    }

    fn put(&mut self, item: Item, actions: &mut Vec<Action>) {
        let Item { key, value, created, modified } = item.clone();
        let is_recreated = |entry: &Entry| entry.created != created && entry.created != 0;
        if self.entries.get(&key).is_some_and(is_recreated) {
            // Deleted and created again in between: another thing under the same name.
            actions.push(Action::Deleted { key: key.clone() });
        }
        self.entries.insert(key, Entry { created, modified, value });
        actions.push(Action::Put(item));
    }

    fn delete(&mut self, key: String, revision: Revision, actions: &mut Vec<Action>) {
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
                // A repeated change, or something newer of the same key has come already.
                continue;
            }
            if revision < self.revision {
                let deletes_nothing =
                    matches!(&change, Change::Delete { key, .. } if !self.entries.contains_key(key));
                if deletes_nothing {
                    continue;
                }
                // Something later has been acted on: the order of the rest is unknown.
                self.needs_snapshot = true;
                return actions.push(Action::Read { endpoint });
            }
            match change {
                Change::Put(item) => self.put(item, actions),
                Change::Delete { key, .. } => self.delete(key, revision, actions),
            }
            self.revision = revision;
        }
        actions.push(Action::Synchronized { revision: self.revision });
    }

    /// The revision of the newest change of a key that is known.
    fn newest_change(&self, key: &str) -> Option<Revision> {
        let modified = self.entries.get(key).map(|entry| entry.modified);
        modified.max(self.tombstones.get(key).copied())
    }
}
