//! The journal thread: writes queued records with one sync, and deletes the journal if it can no longer be
//! written.
use super::sessions::Sessions;
use super::state::{PendingRecord, State};
use crate::SessionKey;
use crate::journal::{Checkpoint, Journal, Record};
use crate::machine::Event;
use crossbeam_channel::{Receiver, RecvTimeoutError};
use decision::Time;
use std::io;
use std::sync::atomic::Ordering;

/// Whether the journal can be written, and if not, whether its files were deleted.
enum JournalState {
    Written,
    /// A write failed, and the files were deleted: commits are only in memory.
    Deleted,
    /// A write failed, and the files can't be deleted: a later start would use them.
    Undeletable,
}

/// A copy of the state for the checkpoint of a rewritten file.
struct Snapshot {
    entries: Vec<(SessionKey, Time)>,
    floor: Option<Time>,
    incomplete: bool,
    /// The number of the newest commit.
    last_seq: u64,
    incarnation: u64,
}

impl State {
    /// Copies all stored commits. Clears the queued records, since the copy contains them.
    fn snapshot(&mut self) -> Snapshot {
        self.pending_records.clear();
        let mut entries: Vec<(SessionKey, Time)> = self.machine.commits().iter().collect();
        entries.reverse();
        Snapshot {
            entries,
            floor: self.machine.floor(),
            incomplete: self.machine.floor_pending(),
            last_seq: self.machine.last_seq(),
            incarnation: self.machine.incarnation(),
        }
    }
}

impl Sessions {
    /// Runs the journal thread until this instance stops.
    pub(super) fn run_journal(&self, mut journal: Journal, wakes: &Receiver<()>) {
        let mut state = JournalState::Written;
        loop {
            let wake = wakes.recv_timeout(self.limits.session_disk_retry_delay);
            if wake == Err(RecvTimeoutError::Disconnected) || self.is_stopping() {
                return;
            }
            let is_retry_due = wake.is_err();
            state = match state {
                JournalState::Written => self.write_or_invalidate(&mut journal),
                JournalState::Deleted if is_retry_due => self.restore(&mut journal),
                JournalState::Deleted => JournalState::Deleted,
                JournalState::Undeletable => self.invalidate(&journal),
            };
        }
    }

    fn write_or_invalidate(&self, journal: &mut Journal) -> JournalState {
        match self.write(journal) {
            Ok(()) => JournalState::Written,
            Err(error) => {
                tracing::error!(%error, "session journal write failed, commits are only in memory");
                self.invalidate(journal)
            }
        }
    }

    /// Tries to create a new file after the old ones were deleted.
    fn restore(&self, journal: &mut Journal) -> JournalState {
        match self.rewrite(journal, |seq| Some(Event::JournalRestored { seq })) {
            Ok(seq) => {
                tracing::info!("session journal created again");
                self.handle(Event::JournalSynced { seq });
                JournalState::Written
            }
            // A later start must not use a file that may be incomplete.
            Err(_) => self.invalidate(journal),
        }
    }

    /// Deletes the journal files, so that no later start uses them: they will lack later commits.
    fn invalidate(&self, journal: &Journal) -> JournalState {
        match journal.invalidate() {
            Ok(()) => {
                self.handle(Event::JournalDeleted);
                JournalState::Deleted
            }
            Err(error) => {
                tracing::error!(%error, "session journal can't be deleted, writes of named sessions fail");
                self.handle(Event::JournalUndeletable);
                JournalState::Undeletable
            }
        }
    }

    /// Writes all queued records; commits share one sync.
    fn write(&self, journal: &mut Journal) -> io::Result<()> {
        let records = std::mem::take(&mut self.lock().pending_records);
        let (mut commits, mut last_seq) = (Vec::with_capacity(records.len()), 0);
        for record in records {
            match record {
                PendingRecord::Commit { seq, session, committed_at } => {
                    commits.push((session, committed_at.0));
                    last_seq = seq;
                }
                PendingRecord::Floor(floor) => journal.append(&Record::Floor(floor.0))?,
            }
        }
        if !commits.is_empty() {
            journal.append(&Record::Commits(commits))?;
            self.journal_syncs.fetch_add(1, Ordering::Relaxed);
            self.handle(Event::JournalSynced { seq: last_seq });
        }
        if journal.needs_rewrite(self.limits.min_session_compaction_bytes) {
            let seq = self.rewrite(journal, |_| None)?;
            self.handle(Event::JournalSynced { seq });
        }
        self.journal_bytes.store(journal.bytes(), Ordering::Relaxed);
        Ok(())
    }

    /// Replaces the file by one with all stored commits. The event, if any, is handled under the same lock
    /// under which the commits are copied. Returns the newest commit's number.
    fn rewrite(&self, journal: &mut Journal, event: impl FnOnce(u64) -> Option<Event>) -> io::Result<u64> {
        let snapshot = {
            let mut state = self.lock();
            let snapshot = state.snapshot();
            if let Some(event) = event(snapshot.last_seq) {
                self.handle_locked(&mut state, event);
            }
            snapshot
        };
        journal.rewrite(&Checkpoint {
            instance: self.settings.instance,
            incarnation: snapshot.incarnation,
            entries: &snapshot.entries,
            floor: snapshot.floor,
            incomplete: snapshot.incomplete,
        })?;
        Ok(snapshot.last_seq)
    }
}
