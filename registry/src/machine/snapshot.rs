//! Applies snapshots: all keys of the registry at one revision.
use super::{Action, Entry, Item, Machine, Revision};
use std::collections::BTreeSet;

impl Machine {
    /// Replaces the known keys with those of a snapshot; only differences produce actions.
    pub(super) fn apply_snapshot(
        &mut self,
        cluster: u64,
        revision: Revision,
        items: Vec<Item>,
        actions: &mut Vec<Action>,
    ) {
        if std::mem::take(&mut self.is_restoring) {
            actions.push(Action::Restored);
            self.forget_revisions();
        }
        self.cluster = cluster;
        self.has_snapshot = true;
        self.needs_snapshot = false;
        self.delete_missing(&items, revision, actions);
        for item in items {
            let is_known = |entry: &Entry| {
                entry.modified >= item.modified && entry.created == item.created && entry.value == item.value
            };
            if !self.entries.get(&item.key).is_some_and(is_known) {
                self.apply_put(item, actions);
            }
        }
        self.revision = self.revision.max(revision);
        actions.push(Action::Synchronized { revision: self.revision });
    }

    /// Resets all known revisions after a restore, so that every key of the snapshot counts as changed.
    fn forget_revisions(&mut self) {
        self.behind_since = None;
        self.revision = 0;
        for entry in self.entries.values_mut() {
            entry.created = 0;
            entry.modified = 0;
        }
        self.tombstones.clear();
        self.tombstone_order.clear();
    }

    /// Deletes the known keys that are missing from a snapshot.
    fn delete_missing(&mut self, items: &[Item], revision: Revision, actions: &mut Vec<Action>) {
        let present: BTreeSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
        let missing: Vec<String> =
            self.entries.keys().filter(|key| !present.contains(key.as_str())).cloned().collect();
        for key in missing {
            self.apply_delete(key, revision, actions);
        }
    }
}
