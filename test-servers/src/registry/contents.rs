//! The registry's keys and values with their revisions.
use std::collections::BTreeMap;

/// Revision of an empty registry.
const FIRST_REVISION: u64 = 1;

/// Id of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseId(pub u64);

/// The value of a key, with its revisions.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) value: Vec<u8>,
    /// Revision at which the key was created.
    pub(super) created: u64,
    /// Revision at which the key was last changed.
    pub(super) modified: u64,
    /// Lease that the key is attached to; the key is deleted when the lease ends.
    pub(super) lease: Option<LeaseId>,
}

/// A change of a key: its new entry, or `None` if the key was deleted.
#[derive(Clone, Debug)]
pub(super) struct Change {
    pub(super) revision: u64,
    pub(super) key: String,
    pub(super) entry: Option<Entry>,
}

/// The contents of a registry; a clone serves as a backup.
#[derive(Clone)]
pub struct Contents {
    revision: u64,
    entries: BTreeMap<String, Entry>,
    history: Vec<Change>,
    /// Revisions before this one have been compacted and can't be read.
    compacted: u64,
}

impl Default for Contents {
    fn default() -> Self {
        Contents { revision: FIRST_REVISION, entries: BTreeMap::new(), history: Vec::new(), compacted: 0 }
    }
}

impl Contents {
    /// Sets a key and returns the revision of the change.
    pub fn put(&mut self, key: &str, value: Vec<u8>, lease: Option<LeaseId>) -> u64 {
        self.revision += 1;
        let created = self.entries.get(key).map_or(self.revision, |entry| entry.created);
        let entry = Entry { value, created, modified: self.revision, lease };
        self.entries.insert(key.into(), entry.clone());
        self.history.push(Change { revision: self.revision, key: key.into(), entry: Some(entry) });
        self.revision
    }

    /// Deletes a key and returns the registry's revision, which only increases if the key existed.
    pub fn delete(&mut self, key: &str) -> u64 {
        if self.entries.remove(key).is_some() {
            self.revision += 1;
            self.history.push(Change { revision: self.revision, key: key.into(), entry: None });
        }
        self.revision
    }

    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Increases the revision without a change of a key.
    pub(super) fn advance_revision(&mut self) -> u64 {
        self.revision += 1;
        self.revision
    }

    pub(super) fn compacted(&self) -> u64 {
        self.compacted
    }

    pub(super) fn compact(&mut self) {
        self.compacted = self.revision;
        self.history.clear();
    }

    pub(super) fn entry(&self, key: &str) -> Option<&Entry> {
        self.entries.get(key)
    }

    pub(super) fn with_prefix<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a String, &'a Entry)> {
        self.entries.iter().filter(move |(key, _)| key.starts_with(prefix))
    }

    /// Returns the changes at or after a revision.
    pub(super) fn changes_from(&self, revision: u64) -> impl Iterator<Item = &Change> {
        self.history.iter().filter(move |change| change.revision >= revision)
    }

    /// Returns the keys and values as of a revision; changes before the last compaction are unknown.
    pub(super) fn entries_at(&self, revision: u64) -> BTreeMap<String, Entry> {
        let mut entries = self.entries.clone();
        if revision >= self.revision {
            return entries;
        }
        for change in self.history.iter().rev().filter(|change| change.revision > revision) {
            let earlier = self.history.iter().rev().find(|e| e.key == change.key && e.revision <= revision);
            match earlier.and_then(|earlier| earlier.entry.clone()) {
                Some(entry) => _ = entries.insert(change.key.clone(), entry),
                None => _ = entries.remove(&change.key),
            }
        }
        entries
    }

    /// Deletes the keys that are attached to the given leases.
    pub(super) fn delete_leased(&mut self, leases: &[LeaseId]) {
        let is_leased = |entry: &Entry| entry.lease.is_some_and(|lease| leases.contains(&lease));
        let leased = self.entries.iter().filter(|(_, entry)| is_leased(entry));
        let keys: Vec<String> = leased.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| _ = self.delete(key));
    }

    /// Returns the keys with their values as text.
    pub(super) fn text_values(&self) -> BTreeMap<String, String> {
        let text = |entry: &Entry| String::from_utf8_lossy(&entry.value).into_owned();
        self.entries.iter().map(|(key, entry)| (key.clone(), text(entry))).collect()
    }
}
