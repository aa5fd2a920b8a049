//! The node's side of a watch. Nothing is queued per watch: a watch reads from the node's shared change log,
//! and only the message that is being written to the socket is in flight.
use super::{Connection, send_in_parts};
use crate::command::{ChangeSet, KeyChange};
use crate::rejection::Rejection;
use crate::state::State;
use crate::wire::{Response, WatchPosition, WireError};
use std::sync::Arc;
use std::time::Instant;

/// Maximum number of change sets that a watch reads from the change log at once.
const MAX_BATCH: usize = 64;

/// The start of a watch.
enum WatchStart {
    /// The client has seen all changes up to this revision.
    After(u64),
    /// The client receives these keys first, because the changes since the client's position are not retained
    /// or the client has no position.
    Snapshot(State),
}

/// The progress of a watch.
struct WatchProgress {
    revision: u64,
    last_sent: Instant,
    last_leader_contact: Instant,
}

impl Connection<'_> {
    /// Sends the changes of the keys with a prefix until the connection or the watch ends.
    pub(super) fn watch(&self, prefix: &str, after: Option<WatchPosition>) -> Result<(), WireError> {
        let revision = match self.watch_start(after) {
            Ok(WatchStart::After(revision)) => revision,
            Ok(WatchStart::Snapshot(state)) => self.send_snapshot(&state, prefix, after.is_some())?,
            Err(rejection) => return self.send(&Response::Rejected(rejection)),
        };
        let mut progress =
            WatchProgress { revision, last_sent: Instant::now(), last_leader_contact: Instant::now() };
        loop {
            self.send_next_changes(prefix, &mut progress)?;
            if progress.last_sent.elapsed() >= self.limits.progress_interval {
                // Sending this message also detects clients that have disconnected.
                self.send(&Response::Progress { revision: progress.revision })?;
                progress.last_sent = Instant::now();
            }
            if self.store.known_leader().leader.is_some() {
                progress.last_leader_contact = Instant::now();
            } else if progress.last_leader_contact.elapsed() > self.limits.no_leader_timeout {
                return self.send(&Response::NoLeader);
            }
        }
    }

    fn watch_start(&self, after: Option<WatchPosition>) -> Result<WatchStart, Rejection> {
        let mut state = self.store.state();
        let is_known = |state: &State, position: &WatchPosition| {
            position.store_id == state.store_id && position.revision <= state.revision
        };
        // The serving node may lag behind the leader. A position that is unknown even to the leader belongs
        // to another store.
        if state.store_id == 0 || after.is_some_and(|position| !is_known(&state, &position)) {
            state = self.store.read()?.state;
        }
        if state.store_id == 0 {
            return Err(Rejection::NotInitialized);
        }
        Ok(match after.filter(|position| is_known(&state, position)) {
            Some(position) => WatchStart::After(position.revision),
            None => WatchStart::Snapshot(state),
        })
    }

    /// Sends all keys with the prefix. Returns their revision, after which changes follow.
    fn send_snapshot(&self, state: &State, prefix: &str, compacted: bool) -> Result<u64, WireError> {
        let position = WatchPosition { store_id: state.store_id, revision: state.revision };
        send_in_parts(state, prefix, |entries, last| {
            self.send(&Response::Snapshot { position, compacted, entries, last })
        })?;
        Ok(position.revision)
    }

    /// Waits for changes until the next progress message is due, and sends those of the watched keys.
    fn send_next_changes(&self, prefix: &str, progress: &mut WatchProgress) -> Result<(), WireError> {
        let next_progress = progress.last_sent + self.limits.progress_interval;
        let timeout = next_progress.saturating_duration_since(Instant::now());
        match self.store.wait_for_changes(progress.revision, MAX_BATCH, timeout) {
            Ok(change_sets) => self.send_changes(change_sets, prefix, progress),
            Err(compacted) => {
                tracing::debug!(
                    revision = progress.revision,
                    compacted_revision = compacted.compacted_revision,
                    "store watch restarted with all keys, changes after this revision are no longer retained"
                );
                progress.revision = self.send_snapshot(&self.store.state(), prefix, true)?;
                progress.last_sent = Instant::now();
                Ok(())
            }
        }
    }

    fn send_changes(
        &self,
        change_sets: Vec<Arc<ChangeSet>>,
        prefix: &str,
        progress: &mut WatchProgress,
    ) -> Result<(), WireError> {
        for set in change_sets {
            progress.revision = set.revision;
            let is_watched = |change: &&KeyChange| change.key.starts_with(prefix);
            let changes: Vec<KeyChange> = set.changes.iter().filter(is_watched).cloned().collect();
            if !changes.is_empty() {
                self.send(&Response::Changes(ChangeSet { revision: set.revision, changes }))?;
                progress.last_sent = Instant::now();
            }
        }
        Ok(())
    }
}
