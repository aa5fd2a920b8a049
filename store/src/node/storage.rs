//! The raft library's view of the storage: the log in memory, and snapshots of the state machine.
use super::shared::Shared;
use raft::eraftpb::{Entry, Snapshot};
use raft::storage::MemStorage;
use raft::{GetEntriesContext, RaftState, Storage, StorageError};
use std::sync::Arc;

#[derive(Clone)]
pub(super) struct RaftStorage {
    pub(super) log: MemStorage,
    pub(super) shared: Arc<Shared>,
}

impl RaftStorage {
    /// Takes a snapshot of the current state machine.
    pub(super) fn take_snapshot(&self) -> raft::Result<Snapshot> {
        let machine = self.shared.machine();
        let applied_index = machine.state().applied_index;
        let mut snapshot = Snapshot::default();
        let metadata = snapshot.mut_metadata();
        metadata.index = applied_index;
        metadata.term = self.log.term(applied_index)?;
        metadata.set_conf_state(self.log.initial_state()?.conf_state);
        let data = machine.encode().ok_or(raft::Error::Store(StorageError::Unavailable))?;
        snapshot.set_data(data.into());
        Ok(snapshot)
    }

    /// The log entries after an index.
    pub(super) fn entries_after(&self, index: u64) -> raft::Result<Vec<Entry>> {
        let last = self.log.last_index()?;
        if last <= index {
            return Ok(Vec::new());
        }
        self.log.entries(index + 1, last + 1, None, GetEntriesContext::empty(false))
    }
}

impl Storage for RaftStorage {
    fn initial_state(&self) -> raft::Result<RaftState> {
        self.log.initial_state()
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        self.log.entries(low, high, max_size, context)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        self.log.term(index)
    }

    fn first_index(&self) -> raft::Result<u64> {
        self.log.first_index()
    }

    fn last_index(&self) -> raft::Result<u64> {
        self.log.last_index()
    }

    fn snapshot(&self, _request_index: u64, _to: u64) -> raft::Result<Snapshot> {
        self.take_snapshot()
    }
}
