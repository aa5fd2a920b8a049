//! The last changes, retained for watches. No I/O and no clock.
//!
//! Watches share one log and read it by revision: nothing is queued for a single watch, and a watch that is too slow
//! is the same case as one that resumes from long ago.
use crate::command::{ChangeSet, KeyChange};
use std::collections::VecDeque;
use std::sync::Arc;

/// How much is retained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetentionLimits {
    /// Number of revisions.
    pub max_revisions: usize,
    /// Bytes of their keys and texts.
    pub max_bytes: usize,
}

impl Default for RetentionLimits {
    fn default() -> Self {
        RetentionLimits { max_revisions: 4096, max_bytes: 16 << 20 }
    }
}

/// Changes after the requested revision are not retained any more: the keys must be read again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Compacted {
    /// Changes after this revision are retained.
    pub compacted_revision: u64,
}

/// Every change after the compacted revision, in order.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    limits: RetentionLimits,
    compacted_revision: u64,
    change_sets: VecDeque<Arc<ChangeSet>>,
    bytes: usize,
}

fn size_in_bytes(set: &ChangeSet) -> usize {
    let size = |change: &KeyChange| {
        let text_bytes = change.value.as_ref().map_or(0, |value| value.text.len());
        change.key.len() + text_bytes
    };
    set.changes.iter().map(size).sum()
}

impl ChangeLog {
    /// An empty log that begins after this revision.
    pub fn new(limits: RetentionLimits, compacted_revision: u64) -> ChangeLog {
        ChangeLog { limits, compacted_revision, ..ChangeLog::default() }
    }

    /// Begins again after a snapshot of this revision: the changes up to it are not known here.
    pub fn reset(&mut self, compacted_revision: u64) {
        *self = ChangeLog::new(self.limits, compacted_revision);
    }

    /// Adds the next changes, and drops the oldest ones beyond the limits; the latest are retained whatever their
    /// size.
    pub fn push(&mut self, changes: Arc<ChangeSet>) {
        self.bytes += size_in_bytes(&changes);
        self.change_sets.push_back(changes);
        while self.is_over_limits() {
            let Some(oldest) = self.change_sets.pop_front() else { return };
            self.bytes -= size_in_bytes(&oldest);
            self.compacted_revision = oldest.revision;
        }
    }

    fn is_over_limits(&self) -> bool {
        let count = self.change_sets.len();
        count > self.limits.max_revisions || (self.bytes > self.limits.max_bytes && count > 1)
    }

    /// The revision of the latest change.
    pub fn last_revision(&self) -> u64 {
        self.change_sets.back().map_or(self.compacted_revision, |set| set.revision)
    }

    /// The changes after a revision, in order, `max_count` of them at most.
    ///
    /// # Errors
    /// [`Compacted`] where they are not retained any more.
    pub fn after(&self, revision: u64, max_count: usize) -> Result<Vec<Arc<ChangeSet>>, Compacted> {
        if revision < self.compacted_revision {
            return Err(Compacted { compacted_revision: self.compacted_revision });
        }
        let first = self.change_sets.partition_point(|set| set.revision <= revision);
        Ok(self.change_sets.iter().skip(first).take(max_count).cloned().collect())
    }
}
