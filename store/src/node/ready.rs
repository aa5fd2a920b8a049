//! What the raft library has ready: entries and hard states to store, messages to send, committed entries to apply,
//! confirmed reads to answer.
use super::actor::Node;
use super::handle::CommittedWrite;
use crate::command::Command;
use crate::error::Error;
use crate::lease_timers::LeaseTimerEvent;
use crate::limits::StoreLimits;
use crate::machine::{Applied, StateMachine};
use raft::eraftpb::{Entry, EntryType, HardState, Message, Snapshot};
use raft::{ReadState, Ready, Storage};
use std::io;

/// Applied log entries after which a snapshot replaces them.
const SNAPSHOT_THRESHOLD: u64 = 1000;

impl Node {
    /// Handles all that is ready.
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
        // Only now may others rely on what is stored.
        self.send(ready.take_persisted_messages());
        let read_states = ready.take_read_states();
        let mut light_ready = self.raft.advance(ready);
        if let Some(commit_index) = light_ready.commit_index() {
            self.store_commit_index(commit_index)?;
        }
        self.send(light_ready.take_messages());
        self.apply_entries(light_ready.take_committed_entries())?;
        self.raft.advance_apply();
        self.answer_reads(read_states);
        Ok(())
    }

    fn send(&self, messages: Vec<Message>) {
        for message in messages {
            if let Some(peer) = self.peers.get(&message.to) {
                // A full queue drops it; raft sends it again.
                _ = peer.try_send(message);
            }
        }
    }

    fn store(&mut self, entries: &[Entry], hard_state: Option<&HardState>) -> Result<(), Error> {
        self.storage.log.wl().append(entries).map_err(io::Error::other)?;
        if let Some(hard_state) = hard_state {
            self.storage.log.wl().set_hardstate(hard_state.clone());
        }
        if let Some(log_file) = &mut self.log_file {
            log_file.append(entries, hard_state)?;
        }
        Ok(())
    }

    fn store_commit_index(&mut self, commit_index: u64) -> Result<(), Error> {
        let hard_state = {
            let mut core = self.storage.log.wl();
            core.mut_hard_state().set_commit(commit_index);
            core.hard_state().clone()
        };
        if let Some(log_file) = &mut self.log_file {
            log_file.append(&[], Some(&hard_state))?;
        }
        Ok(())
    }

    /// Replaces the state by the leader's snapshot.
    fn install_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        let machine = StateMachine::decode(snapshot.get_data(), StoreLimits::default())
            .ok_or_else(|| Error::UnknownFormat { what: "the leader's snapshot".into() })?;
        self.storage.log.wl().apply_snapshot(snapshot.clone()).map_err(io::Error::other)?;
        self.rewrite_log_file(snapshot, &[])?;
        let state = machine.state().clone();
        let shared = &self.storage.shared;
        *shared.machine() = machine;
        // After the keys: a watch that finds the changes compacted must find the keys that replace them.
        shared.change_log().reset(state.revision);
        shared.changed.notify_all();
        (self.on_change)(&state);
        Ok(())
    }

    fn rewrite_log_file(&mut self, snapshot: &Snapshot, entries: &[Entry]) -> Result<(), Error> {
        if let Some(log_file) = &mut self.log_file {
            let hard_state = self.storage.log.wl().hard_state().clone();
            log_file.rewrite(snapshot, entries, &hard_state)?;
        }
        Ok(())
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
        // To skip what others may understand would make this node's keys differ from theirs.
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
            _ = write.reply.try_send(Ok(CommittedWrite { response, term: self.raft.raft.term }));
        }
        Ok(())
    }

    fn answer_reads(&mut self, read_states: Vec<ReadState>) {
        let leading_term = self.leading_term();
        for read_state in read_states {
            self.reads.confirm(&read_state.request_ctx, read_state.index, leading_term);
        }
        if self.reads.has_confirmed() {
            let state = self.storage.shared.machine().state().clone();
            self.reads.answer(&state, self.raft.raft.term);
        }
    }

    /// Replaces a long log by a snapshot.
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
