//! The journal's thread: writes what waits with one sync, and deletes what it can no longer write.
use super::{Append, Sessions, State};
use crate::Key;
use crate::journal::{Journal, Record, Whole};
use crate::machine::Event;
use crossbeam_channel::{Receiver, RecvTimeoutError};
use decision::Time;
use std::io;
use std::sync::atomic::Ordering;

/// What can be done with the journal.
enum JournalState {
    Written,
    /// A write failed, and the files are deleted: commits are in memory alone.
    Deleted,
    /// A write failed, and the files can't be deleted: a later start would use them.
    Stuck,
}

/// What a rewritten file begins with.
struct Snapshot {
    entries: Vec<(Key, Time)>,
    floor: Option<Time>,
    incomplete: bool,
    /// The newest commit's number.
    seq: u64,
    incarnation: u64,
}

impl State {
    /// Everything that is held; what waits for the journal is among it.
    fn snapshot(&mut self) -> Snapshot {
        self.appends.clear();
        let mut entries: Vec<(Key, Time)> = self.machine.kept().iter().collect();
        entries.reverse();
        Snapshot {
            entries,
            floor: self.machine.floor(),
            incomplete: self.machine.floor_due(),
            seq: self.machine.seq(),
            incarnation: self.machine.incarnation(),
        }
    }
}

impl Sessions {
    /// Runs until this instance stops.
    pub(super) fn run_journal(&self, mut journal: Journal, woken: &Receiver<()>) {
        let mut state = JournalState::Written;
        loop {
            let woken = woken.recv_timeout(self.limits.session_disk_retry_delay);
            if woken == Err(RecvTimeoutError::Disconnected) || self.stopping.load(Ordering::Acquire) {
                return;
            }
            let retry_due = woken.is_err();
            state = match state {
                JournalState::Written => self.write_or_invalidate(&mut journal),
                JournalState::Deleted if retry_due => self.restore(&mut journal),
                JournalState::Deleted => JournalState::Deleted,
                JournalState::Stuck => self.invalidate(&journal),
            };
        }
    }

    fn write_or_invalidate(&self, journal: &mut Journal) -> JournalState {
        match self.write(journal) {
            Ok(()) => JournalState::Written,
            Err(error) => {
                tracing::error!(
                    "sessions: the journal can't be kept: {error}; the next start takes the floor"
                );
                self.invalidate(journal)
            }
        }
    }

    /// Tries a new file after the old ones were deleted.
    fn restore(&self, journal: &mut Journal) -> JournalState {
        match self.rewrite(journal, |seq| Some(Event::JournalBack(seq))) {
            Ok(seq) => {
                tracing::info!("sessions: commits are kept on disk again");
                self.handle(Event::Synced(seq));
                JournalState::Written
            }
            // A file that was begun must not be used by a later start.
            Err(_) => self.invalidate(journal),
        }
    }

    /// Makes sure that no later start uses what the folder holds: commits are missing there from now on.
    fn invalidate(&self, journal: &Journal) -> JournalState {
        match journal.invalidate() {
            Ok(()) => {
                self.handle(Event::JournalLost);
                JournalState::Deleted
            }
            Err(error) => {
                tracing::error!(
                    "sessions: the journal can't be deleted: {error}; named sessions' writes are failed"
                );
                self.handle(Event::JournalStuck);
                JournalState::Stuck
            }
        }
    }

    /// Writes what waits, all with one sync.
    fn write(&self, journal: &mut Journal) -> io::Result<()> {
        let appends = std::mem::take(&mut self.lock().appends);
        let (mut commits, mut last_seq) = (Vec::with_capacity(appends.len()), 0);
        for append in appends {
            match append {
                Append::Commit(seq, key, at) => {
                    commits.push((key, at.0));
                    last_seq = seq;
                }
                Append::Floor(at) => journal.add(&Record::Floor(at.0))?,
            }
        }
        if !commits.is_empty() {
            journal.add(&Record::Commits(commits))?;
            self.syncs.fetch_add(1, Ordering::Relaxed);
            self.handle(Event::Synced(last_seq));
        }
        if journal.wants_rewrite(self.limits.min_session_compaction_bytes) {
            let seq = self.rewrite(journal, |_| None)?;
            self.handle(Event::Synced(seq));
        }
        self.journal_bytes.store(journal.bytes(), Ordering::Relaxed);
        Ok(())
    }

    /// Writes a new file with everything that is held. The event, if any, is handled in the moment of which the file
    /// speaks. Returns the newest commit's number.
    fn rewrite(&self, journal: &mut Journal, event: impl FnOnce(u64) -> Option<Event>) -> io::Result<u64> {
        let snapshot = {
            let mut state = self.lock();
            let snapshot = state.snapshot();
            if let Some(event) = event(snapshot.seq) {
                self.handle_locked(&mut state, event);
            }
            snapshot
        };
        journal.rewrite(&Whole {
            instance: self.settings.instance,
            incarnation: snapshot.incarnation,
            entries: &snapshot.entries,
            floor: snapshot.floor,
            incomplete: snapshot.incomplete,
        })?;
        Ok(snapshot.seq)
    }
}
