//! Restores a node's state from its log file, or starts with an empty store.
use super::settings::Settings;
use crate::command::Command;
use crate::error::Error;
use crate::limits::StoreLimits;
use crate::log_file::{LogContents, LogFile};
use crate::machine::StateMachine;
use raft::eraftpb::{Entry, Snapshot};
use raft::storage::MemStorage;
use std::path::Path;

pub(super) struct Recovered {
    pub(super) log: MemStorage,
    pub(super) machine: StateMachine,
    /// The log file; `None` if no folder is configured.
    pub(super) log_file: Option<LogFile>,
}

impl Recovered {
    pub(super) fn load(settings: &Settings) -> Result<Recovered, Error> {
        let voters: Vec<u64> = settings.peers.keys().copied().collect();
        let log = MemStorage::new_with_conf_state((voters, vec![]));
        let machine = StateMachine::new(StoreLimits::default());
        let mut recovered = Recovered { log, machine, log_file: None };
        if let Some(folder) = &settings.folder {
            recovered.load_folder(folder)?;
        }
        Ok(recovered)
    }

    fn load_folder(&mut self, folder: &Path) -> Result<(), Error> {
        let failed = |source| Error::Folder { path: folder.to_path_buf(), source };
        let (log_file, contents) = LogFile::open(folder).map_err(failed)?;
        let LogContents { hard_state, entries, snapshot, torn_bytes } = contents;
        if torn_bytes > 0 {
            tracing::warn!(torn_bytes, "torn tail of the store log cut off");
        }
        if snapshot.get_metadata().index > 0 {
            self.load_snapshot(snapshot)?;
        }
        check_entries(&entries, self.machine.state().applied_index)?;
        let mut core = self.log.wl();
        core.append(&entries).map_err(|source| Error::Inconsistent { what: "the log", source })?;
        core.set_hardstate(hard_state);
        drop(core);
        self.log_file = Some(log_file);
        Ok(())
    }

    fn load_snapshot(&mut self, snapshot: Snapshot) -> Result<(), Error> {
        self.machine = StateMachine::decode(snapshot.get_data(), StoreLimits::default())
            .ok_or_else(|| Error::UnknownFormat { what: "the snapshot".into() })?;
        let inconsistent = |source| Error::Inconsistent { what: "the snapshot", source };
        self.log.wl().apply_snapshot(snapshot).map_err(inconsistent)
    }
}

/// Checks that the log has no gaps, which the raft library assumes, and that each command can be decoded.
fn check_entries(entries: &[Entry], snapshot_index: u64) -> Result<(), Error> {
    let mut previous = snapshot_index;
    for entry in entries {
        if entry.index != previous + 1 {
            return Err(Error::LogGap { previous, index: entry.index });
        }
        previous = entry.index;
        if !entry.data.is_empty() && Command::decode(&entry.data).is_none() {
            return Err(Error::UnknownFormat { what: format!("entry {} of the log", entry.index) });
        }
    }
    Ok(())
}
