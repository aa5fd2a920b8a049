//! Processes the output of the raft library: entries and hard states to store, messages to send, committed
//! entries to apply, and confirmed reads to respond to.
use super::actor::Node;
use super::responses::CommittedWrite;
use crate::command::Command;
use crate::error::Error;
use crate::lease_timers::LeaseTimerEvent;
use crate::limits::StoreLimits;
use crate::machine::{Applied, StateMachine};
use raft::eraftpb::{Entry, EntryType, HardState, Message, Snapshot};
use raft::{ReadState, Ready, Storage};
use std::io;
use std::time::Duration;

/// Pause before retrying after a failed disk write.
const DISK_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Number of applied log entries after which a snapshot replaces them.
const SNAPSHOT_THRESHOLD: u64 = 1000;

impl Node {
    /// Processes all output that raft has ready.
    pub(super) fn advance(&mut self) -> Result<(), Error> {
        while self.raft.has_ready() {
            let ready = self.raft.ready();
            self.handle_ready(ready)?;
        }
        self.compact_log()
    }

    fn handle_ready(&mut self, mut ready: Ready) -> Result<(), Error> {
        self.send(ready.take_messages());
        if !ready.snapshot().is_empty() {
            self.install_snapshot(ready.snapshot())?;
        }
        self.apply_entries(ready.take_committed_entries())?;
        self.store(ready.entries(), ready.hs())?;
        // Peers may rely on these messages, so they are sent only after the entries are stored.
        self.send(ready.take_persisted_messages());
        let read_states = ready.take_read_states();
        let mut light_ready = self.raft.advance(ready);
        if let Some(commit_index) = light_ready.commit_index() {
            self.store_commit_index(commit_index)?;
        }
        self.send(light_ready.take_messages());
        self.apply_entries(light_ready.take_committed_entries())?;
        self.raft.advance_apply();
        self.respond_to_reads(read_states);
        Ok(())
    }

    fn send(&self, messages: Vec<Message>) {
        for message in messages {
            if let Some(peer) = self.peers.get(&message.to) {
                // If the queue is full, the message is dropped; raft sends it again.
                _ = peer.try_send(message);
            }
        }
    }

    fn store(&mut self, entries: &[Entry], hard_state: Option<&HardState>) -> Result<(), Error> {
        self.storage.log.wl().append(entries).map_err(io::Error::other)?;
        if let Some(hard_state) = hard_state {
            self.storage.log.wl().set_hardstate(hard_state.clone());
        }
        self.append_to_log_file(entries, hard_state)
    }

    fn store_commit_index(&mut self, commit_index: u64) -> Result<(), Error> {
        let hard_state = {
            let mut core = self.storage.log.wl();
            core.mut_hard_state().set_commit(commit_index);
            core.hard_state().clone()
        };
        self.append_to_log_file(&[], Some(&hard_state))
    }

    /// Appends entries and a hard state to the log file. The log in memory contains them already.
    fn append_to_log_file(&mut self, entries: &[Entry], hard_state: Option<&HardState>) -> Result<(), Error> {
        let Some(log_file) = &mut self.log_file else { return Ok(()) };
        let Err(error) = log_file.append(entries, hard_state) else { return Ok(()) };
        // After a failed write the contents of the file are unknown, and a repeated sync may report success
        // although data is lost. Only a new file is reliable. Until it is written, no message is sent that
        // depends on it.
        self.report_disk_failure(&error);
        let applied_index = self.storage.shared.machine().state().applied_index;
        let snapshot = self.storage.take_snapshot().map_err(io::Error::other)?;
        let entries = self.storage.entries_after(applied_index).map_err(io::Error::other)?;
        std::thread::sleep(DISK_RETRY_INTERVAL);
        self.rewrite_log_file(&snapshot, &entries)
    }

    fn report_disk_failure(&self, error: &io::Error) {
        tracing::error!(
            %error,
            "store log write failed, this node does not participate until a retry succeeds"
        );
        self.storage.shared.clear_leader();
    }

    /// Replaces the state by a snapshot from the leader.
    fn install_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        let machine = StateMachine::decode(snapshot.get_data(), StoreLimits::default())
            .ok_or_else(|| Error::UnknownFormat { what: "the leader's snapshot".into() })?;
        self.storage.log.wl().apply_snapshot(snapshot.clone()).map_err(io::Error::other)?;
        self.rewrite_log_file(snapshot, &[])?;
        let state = machine.state().clone();
        let shared = &self.storage.shared;
        *shared.machine() = machine;
        // The change log is reset only after the keys are replaced: a watch that finds its changes compacted
        // must find the new keys.
        shared.change_log().reset(state.revision);
        shared.changed.notify_all();
        (self.on_change)(&state);
        Ok(())
    }

    /// Replaces the log file, and retries until that succeeds: a disk that is full or fails temporarily must
    /// not remove a node from the store permanently.
    fn rewrite_log_file(&mut self, snapshot: &Snapshot, entries: &[Entry]) -> Result<(), Error> {
        let hard_state = self.storage.log.wl().hard_state().clone();
        let mut failed = false;
        loop {
            let Some(log_file) = &mut self.log_file else { return Ok(()) };
            match log_file.rewrite(snapshot, entries, &hard_state) {
                Ok(()) if failed => {
                    tracing::info!("store log written again, this node participates");
                    return Ok(());
                }
                Ok(()) => return Ok(()),
                Err(error) if !std::mem::replace(&mut failed, true) => self.report_disk_failure(&error),
                Err(_) => {}
            }
            std::thread::sleep(DISK_RETRY_INTERVAL);
        }
    }

    fn apply_entries(&mut self, entries: Vec<Entry>) -> Result<(), Error> {
        for entry in entries {
            if entry.get_entry_type() == EntryType::EntryNormal && !entry.data.is_empty() {
                self.apply_command(&entry)?;
            } else {
                self.storage.shared.machine().skip(entry.index);
            }
        }
        Ok(())
    }

    fn apply_command(&mut self, entry: &Entry) -> Result<(), Error> {
        // Skipping a command that other nodes may understand would make this node's keys diverge from theirs.
        let command = Command::decode(&entry.data)
            .ok_or_else(|| Error::UnknownFormat { what: format!("entry {}", entry.index) })?;
        let (applied, state) = {
            let mut machine = self.storage.shared.machine();
            let applied = machine.apply(entry.index, command);
            (applied, machine.state().clone())
        };
        let Applied { response, changes, lease_event } = applied;
        if let Some(event) = lease_event {
            self.lease_timers.handle(LeaseTimerEvent::Lease(event), &mut Vec::new());
        }
        if let Some(changes) = changes {
            self.storage.shared.change_log().push(changes);
            self.storage.shared.changed.notify_all();
            (self.on_change)(&state);
        }
        if let Some(write) = self.pending_writes.remove(&entry.context[..]) {
            _ = write.responder.try_send(Ok(CommittedWrite { response, term: self.raft.raft.term }));
        }
        Ok(())
    }

    fn respond_to_reads(&mut self, read_states: Vec<ReadState>) {
        let leading_term = self.leading_term();
        for read_state in read_states {
            self.reads.confirm(&read_state.request_ctx, read_state.index, leading_term);
        }
        if self.reads.has_confirmed() {
            let state = self.storage.shared.machine().state().clone();
            self.reads.respond(&state, self.raft.raft.term);
        }
    }

    /// Replaces the applied log entries by a snapshot if there are too many of them.
    fn compact_log(&mut self) -> Result<(), Error> {
        let applied_index = self.storage.shared.machine().state().applied_index;
        let first_index = self.storage.first_index().map_err(io::Error::other)?;
        if applied_index < first_index + SNAPSHOT_THRESHOLD {
            return Ok(());
        }
        let snapshot = self.storage.take_snapshot().map_err(io::Error::other)?;
        let entries = self.storage.entries_after(applied_index).map_err(io::Error::other)?;
        self.rewrite_log_file(&snapshot, &entries)?;
        Ok(self.storage.log.wl().compact(applied_index).map_err(io::Error::other)?)
    }
}
