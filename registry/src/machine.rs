//! The state machine that follows a registry: the whole list at one revision, then changes from there, in order and
//! once each. A break resumes where it ended; a revision that is gone is read anew; an older one is never acted on.
//!
//! No I/O, no clock, no threads: the same events at the same times give the same actions.
use decision::{Micros, Time};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// A registry's revision (etcd) or index (Consul). Rises with each change.
pub type Revision = u64;

/// A member of the registry, by its place in the settings.
pub type EndpointIndex = usize;

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The key, whole.
    pub key: String,
    /// The value's bytes.
    pub value: Vec<u8>,
    /// The revision at which it came to be; another one means that it was deleted in between.
    pub created: Revision,
    /// The revision of its newest change.
    pub modified: Revision,
}

/// One change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A key was set.
    Put(Item),
    /// A key was deleted at this revision.
    Delete(String, Revision),
}

impl Change {
    /// The revision of the change.
    pub fn revision(&self) -> Revision {
        match self {
            Change::Put(item) => item.modified,
            Change::Delete(_, revision) => *revision,
        }
    }
}

/// How it is set up.
#[derive(Clone, Debug)]
pub struct Settings {
    /// A registry whose members all stand behind what is held here, for this long, was restored from a backup.
    pub restored_after: Micros,
    /// Deletions that are remembered, to tell a repeated change from a late one.
    pub tombstones: usize,
}

/// What happens.
#[derive(Clone, Debug)]
pub enum Event {
    /// A member has been reached, and says whose it is and where it stands.
    Stands {
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
    /// What a watch brought.
    Changes(EndpointIndex, Vec<Change>),
    /// The watch has brought everything up to this revision.
    Progress(EndpointIndex, Revision),
    /// The revision to go on from is gone.
    Compacted(EndpointIndex),
    /// Something has changed that no watch has brought: only a whole read tells what.
    Missed,
}

/// Why a member is not followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// It stands before what is held here.
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

/// What is to be done, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read everything from this member.
    Read(EndpointIndex),
    /// Watch from this revision on.
    Watch(EndpointIndex, Revision),
    /// Go to another member.
    Leave(EndpointIndex, Why),
    /// The registry was restored from a backup, or replaced: what follows is older than what was known.
    Restored,
    /// A key has this value now.
    Put(Item),
    /// A key is gone.
    Gone(String),
    /// What is held is what the registry held at this revision.
    Settled(Revision),
}

struct Held {
    created: Revision,
    modified: Revision,
    value: Vec<u8>,
}

/// Follows one registry.
pub struct Machine {
    settings: Settings,
    cluster: u64,
    revision: Revision,
    held: BTreeMap<String, Held>,
    deleted: HashMap<String, Revision>,
    deletions: VecDeque<(String, Revision)>,
    /// Something has been read, ever.
    read: bool,
    /// Since when members stand behind, and which.
    behind: Option<(Time, BTreeSet<EndpointIndex>)>,
    /// The next whole list is taken although it is older.
    restoring: bool,
    /// Changes came out of order: until everything has been read, what is held is not what stood at any revision.
    doubts: bool,
}

impl Machine {
    /// One that holds nothing.
    pub fn new(settings: Settings) -> Machine {
        Machine {
            settings,
            cluster: 0,
            revision: 0,
            held: BTreeMap::new(),
            deleted: HashMap::new(),
            deletions: VecDeque::new(),
            read: false,
            behind: None,
            restoring: false,
            doubts: false,
        }
    }

    /// What is held is what the registry held at this revision.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The cluster that is followed; 0 for none.
    pub fn cluster(&self) -> u64 {
        self.cluster
    }

    /// Keys that are held, with their values.
    pub fn items(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.held.iter().map(|(k, h)| (k.as_str(), h.value.as_slice()))
    }

    /// How many keys are held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether none is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Everything that is held.
    pub fn all(&self) -> impl Iterator<Item = Item> {
        let item = |(k, h): (&String, &Held)| Item {
            key: k.clone(),
            value: h.value.clone(),
            created: h.created,
            modified: h.modified,
        };
        self.held.iter().map(item)
    }

    /// Begins with what an earlier start held: the first whole list says what has become of it.
    pub fn begin_with(&mut self, items: impl IntoIterator<Item = Item>) {
        for Item { key, value, created, modified } in items {
            self.held.insert(key, Held { created, modified, value });
        }
    }

    /// Takes an event.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Stands { endpoint, cluster, revision } => {
                if !self.admits(now, endpoint, cluster, revision, actions) {
                    return;
                }
                if self.restoring || self.doubts || !self.read {
                    actions.push(Action::Read(endpoint));
                } else {
                    actions.push(Action::Watch(endpoint, self.revision + 1));
                }
            }
            Event::Snapshot { endpoint, cluster, revision, items } => {
                if self.admits(now, endpoint, cluster, revision, actions) {
                    self.snapshot(cluster, revision, items, actions);
                    actions.push(Action::Watch(endpoint, self.revision + 1));
                }
            }
            Event::Changes(endpoint, changes) => self.changes(endpoint, changes, actions),
            Event::Progress(..) if self.doubts => {}
            Event::Progress(endpoint, revision) => {
                if revision < self.revision {
                    // It says that all came that it has, and it has less.
                    let (theirs, ours) = (revision, self.revision);
                    return actions.push(Action::Leave(endpoint, Why::Behind { theirs, ours }));
                }
                self.revision = revision;
                actions.push(Action::Settled(revision));
            }
            Event::Compacted(endpoint) => {
                self.doubts = true;
                actions.push(Action::Read(endpoint));
            }
            Event::Missed => self.doubts = true,
        }
    }

    /// Whether a member that stands there may be followed. One that stands behind may lag; where all do, for long
    /// enough, the registry itself has gone back.
    fn admits(
        &mut self,
        now: Time,
        endpoint: EndpointIndex,
        cluster: u64,
        revision: Revision,
        actions: &mut Vec<Action>,
    ) -> bool {
        let other = self.read && cluster != self.cluster;
        if !self.read || self.restoring || (!other && revision >= self.revision) {
            if !self.restoring {
                self.behind = None;
            }
            return true;
        }
        let (since, members) = self.behind.get_or_insert_with(|| (now, BTreeSet::new()));
        members.insert(endpoint);
        // Nobody has shown what is held here since then: each one that stands where it should clears this.
        if now.0 - since.0 >= self.settings.restored_after {
            self.restoring = true;
            return true;
        }
        let why = if other {
            Why::OtherCluster { theirs: cluster, ours: self.cluster }
        } else {
            Why::Behind { theirs: revision, ours: self.revision }
        };
        actions.push(Action::Leave(endpoint, why));
        false
    }

    fn snapshot(&mut self, cluster: u64, revision: Revision, items: Vec<Item>, actions: &mut Vec<Action>) {
        if std::mem::take(&mut self.restoring) {
            actions.push(Action::Restored);
            (self.behind, self.revision) = (None, 0);
            // What it holds is taken as new, whatever its numbers.
            self.held.values_mut().for_each(|h| (h.created, h.modified) = (0, 0));
            self.deleted.clear();
            self.deletions.clear();
        }
        (self.cluster, self.read, self.doubts) = (cluster, true, false);
        let named: BTreeSet<&str> = items.iter().map(|i| i.key.as_str()).collect();
        let gone: Vec<String> = self.held.keys().filter(|k| !named.contains(k.as_str())).cloned().collect();
        for key in gone {
            self.delete(key, revision, actions);
        }
        for item in items {
            let same =
                |h: &Held| h.modified >= item.modified && h.created == item.created && h.value == item.value;
            if !self.held.get(&item.key).is_some_and(same) {
                self.put(item, actions);
            }
        }
        self.revision = self.revision.max(revision);
        actions.push(Action::Settled(self.revision));
    }

    fn put(&mut self, item: Item, actions: &mut Vec<Action>) {
        let Item { key, value, created, modified } = item.clone();
        let reborn = |h: &Held| h.created != created && h.created != 0;
        if self.held.get(&key).is_some_and(reborn) {
            // Deleted and made again while nobody looked: not the same thing under the same name.
            actions.push(Action::Gone(key.clone()));
        }
        self.held.insert(key, Held { created, modified, value });
        actions.push(Action::Put(item));
    }

    fn delete(&mut self, key: String, revision: Revision, actions: &mut Vec<Action>) {
        if self.held.remove(&key).is_some() {
            actions.push(Action::Gone(key.clone()));
        }
        self.deleted.insert(key.clone(), revision);
        self.deletions.push_back((key, revision));
        if self.deletions.len() > self.settings.tombstones
            && let Some((key, revision)) = self.deletions.pop_front()
            && self.deleted.get(&key) == Some(&revision)
        {
            self.deleted.remove(&key);
        }
    }

    fn changes(&mut self, endpoint: EndpointIndex, changes: Vec<Change>, actions: &mut Vec<Action>) {
        for change in changes {
            let revision = change.revision();
            let (key, known) = match &change {
                Change::Put(i) => (&i.key, self.held.get(&i.key).map(|h| h.modified)),
                Change::Delete(k, _) => (k, self.held.get(k).map(|h| h.modified)),
            };
            let known = known.max(self.deleted.get(key).copied());
            if known.is_some_and(|k| k >= revision) {
                // It came twice, or something newer of the same key has come already.
                continue;
            }
            if revision < self.revision {
                let absent = matches!(&change, Change::Delete(k, _) if !self.held.contains_key(k));
                if absent {
                    continue;
                }
                // Something later has been acted on: what order the rest had is not known any more.
                self.doubts = true;
                return actions.push(Action::Read(endpoint));
            }
            match change {
                Change::Put(item) => self.put(item, actions),
                Change::Delete(key, _) => self.delete(key, revision, actions),
            }
            self.revision = revision;
        }
        actions.push(Action::Settled(self.revision));
    }
}
