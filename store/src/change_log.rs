//! The most recent changes, retained for watches. No I/O and no clock.
//!
//! All watches share one log and read it by revision. Nothing is queued per watch, and a watch that is too
//! slow is handled like one that resumes at an old revision.
use crate::command::{ChangeSet, KeyChange};
use std::collections::VecDeque;
use std::sync::Arc;

/// Limits on the retained changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetentionLimits {
    /// Maximum number of retained revisions.
    pub max_revisions: usize,
    /// Maximum total length of the keys and texts of the changes, in bytes.
    pub max_bytes: usize,
}

impl Default for RetentionLimits {
    fn default() -> Self {
        RetentionLimits { max_revisions: 4096, max_bytes: 16 << 20 }
    }
}

/// Some changes after the requested revision are no longer retained: the watch must read all keys again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Compacted {
    /// All changes after this revision are still retained.
    pub compacted_revision: u64,
}

/// All changes after the compacted revision, in order.
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
    /// Creates an empty log for the changes after this revision.
    pub fn new(limits: RetentionLimits, compacted_revision: u64) -> ChangeLog {
        ChangeLog { limits, compacted_revision, ..ChangeLog::default() }
    }

    /// Clears the log after a snapshot of this revision was installed: the changes before it are unknown to
    /// this node.
    pub fn reset(&mut self, compacted_revision: u64) {
        *self = ChangeLog::new(self.limits, compacted_revision);
    }

    /// Appends the changes of one command and drops the oldest ones beyond the limits. The newest change set
    /// is retained even if it alone exceeds the byte limit.
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

    /// The revision of the newest change, or the compacted revision if there is none.
    pub fn last_revision(&self) -> u64 {
        self.change_sets.back().map_or(self.compacted_revision, |set| set.revision)
    }

    /// Returns the changes after a revision, in order, at most `max_count` of them.
    ///
    /// # Errors
    /// [`Compacted`] if the changes after the revision are no longer all retained.
    pub fn after(&self, revision: u64, max_count: usize) -> Result<Vec<Arc<ChangeSet>>, Compacted> {
        if revision < self.compacted_revision {
            return Err(Compacted { compacted_revision: self.compacted_revision });
        }
        let first = self.change_sets.partition_point(|set| set.revision <= revision);
        Ok(self.change_sets.iter().skip(first).take(max_count).cloned().collect())
    }
}
