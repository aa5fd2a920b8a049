//! The files through which the processes of one router exchange commits.
use crate::log::{CommitLogError, LogRead, LogReader, LogWriter, PreparedLog, SharedCommit};
use crate::peers::{Peers, ProcessName, ServedBefore};
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Prefix of a log's file name; the name of its process follows.
const FILE_PREFIX: &str = "damsonvale-commits-";

/// Commits of other processes, as returned by [`CommitExchange::receive`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReceivedCommits {
    /// Commits that other processes have published since the last call.
    pub commits: Vec<SharedCommit>,
    /// Whether other commits may have been acknowledged since the last call and until now.
    pub commits_missing: bool,
}

/// The folder that the processes share, and the name of this one.
struct Location {
    folder: PathBuf,
    own_name: ProcessName,
}

impl Location {
    fn log_path(&self, process: &str) -> PathBuf {
        self.folder.join(format!("{FILE_PREFIX}{process}"))
    }
}

#[derive(Default)]
struct State {
    /// `None` if this process shares no folder with others.
    location: Option<Location>,
    peers: Peers,
    /// The log of this process; `None` while it is alone.
    writer: Option<LogWriter>,
    readers: BTreeMap<ProcessName, LogReader>,
    /// Whether the logs of processes that had ended before have been removed.
    old_logs_removed: bool,
    /// Commits of processes that have ended, for the next [`CommitExchange::receive`].
    left_over: Vec<SharedCommit>,
}

/// Publishes the commits of this process and receives those of the others.
///
/// A commit that [`CommitExchange::publish`] was called with is returned by every later
/// [`CommitExchange::receive`] in another process, or that call reports missing commits.
#[derive(Default)]
pub struct CommitExchange(Mutex<State>);

impl CommitExchange {
    /// Joins the processes that share `folder`. `has_predecessor` is whether the router may have run before this
    /// process started. Without this call the exchange neither publishes nor receives anything.
    pub fn join(&self, folder: &Path, own_name: ProcessName, has_predecessor: bool) {
        let mut state = self.state();
        state.location = Some(Location { folder: folder.to_path_buf(), own_name });
        state.peers = Peers::new(has_predecessor);
    }

    /// Handles a count of the other processes that are alive: creates or removes the log of this process, opens
    /// the logs of new processes, and reads those of ended ones to their end. `served` is whether this process
    /// may have served clients. Called periodically.
    ///
    /// # Errors
    /// Returns the first error. The processes concerned count as publishing no log, and the next call retries.
    pub fn update_processes(
        &self,
        alive: &BTreeSet<ProcessName>,
        served: ServedBefore,
    ) -> Result<(), CommitLogError> {
        let new_log_path = self.state().processes_counted(alive);
        // The file is written without the lock, so that a slow disk does not delay requests.
        let prepared = new_log_path.map(|path| PreparedLog::create(&path, served)).transpose();
        let mut state = self.state();
        let published = prepared.and_then(|log| state.publish_log(log));
        let opened = state.open_logs();
        published.and(opened)
    }

    /// Returns whether each of the other processes publishes a log that this process reads.
    pub fn all_peers_publish(&self) -> bool {
        self.state().peers.unavailable().is_empty()
    }

    /// Makes a commit visible to the other processes, if there are any. The client may get the response after
    /// this has returned.
    ///
    /// # Errors
    /// Returns an error if the commit cannot be written. The other processes then report missing commits until
    /// this process has created a new log.
    pub fn publish(&self, commit: &SharedCommit) -> Result<(), CommitLogError> {
        let mut state = self.state();
        let Some(writer) = &mut state.writer else { return Ok(()) };
        let written = writer.append(commit);
        if written.is_err() {
            state.withdraw_log();
        }
        written
    }

    /// Returns what the other processes have published since the last call.
    pub fn receive(&self) -> ReceivedCommits {
        let mut state = self.state();
        let mut commits = std::mem::take(&mut state.left_over);
        let unreadable = state.read_logs(&mut commits);
        let commits_missing = state.peers.take_commits_missing() || unreadable;
        ReceivedCommits { commits, commits_missing }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Handles a count of the other processes. Removes the log of this process if it is alone; returns the path of
    /// the log that it needs if it is not, and has none.
    fn processes_counted(&mut self, alive: &BTreeSet<ProcessName>) -> Option<PathBuf> {
        self.remove_old_logs(alive);
        let ended = self.peers.processes_counted(alive);
        ended.iter().for_each(|name| self.read_to_end(name));
        if self.peers.is_empty() {
            self.withdraw_log();
            return None;
        }
        self.writer.take_if(|writer| !writer.is_published());
        let location = self.location.as_ref().filter(|_| self.writer.is_none())?;
        Some(location.log_path(&location.own_name))
    }

    fn publish_log(&mut self, log: Option<PreparedLog>) -> Result<(), CommitLogError> {
        if let Some(log) = log {
            self.writer = Some(log.publish()?);
        }
        Ok(())
    }

    fn withdraw_log(&mut self) {
        if let Some(writer) = self.writer.take() {
            writer.withdraw();
        }
    }

    /// Removes the logs of processes that had ended before this one started.
    fn remove_old_logs(&mut self, alive: &BTreeSet<ProcessName>) {
        let Some(location) = self.location.as_ref().filter(|_| !self.old_logs_removed) else { return };
        self.old_logs_removed = true;
        for entry in std::fs::read_dir(&location.folder).into_iter().flatten().flatten() {
            let file_name = entry.file_name();
            let process = file_name.to_str().and_then(|name| name.strip_prefix(FILE_PREFIX));
            if process.is_some_and(|name| name != location.own_name && !alive.contains(name)) {
                // Another process may have removed it.
                _ = std::fs::remove_file(entry.path());
            }
        }
    }

    fn open_logs(&mut self) -> Result<(), CommitLogError> {
        let Some(location) = &self.location else { return Ok(()) };
        let mut result = Ok(());
        for name in self.peers.unavailable() {
            match LogReader::open(&location.log_path(&name)) {
                Ok(Some((reader, served_before))) => {
                    self.peers.log_opened(&name, served_before);
                    self.readers.insert(name, reader);
                }
                Ok(None) => {}
                // An unreadable log does not prevent that the others are opened.
                Err(error) => result = result.and(Err(error)),
            }
        }
        result
    }

    /// Reads the rest of an ended process's log, and removes the file.
    fn read_to_end(&mut self, name: &str) {
        let Some(mut reader) = self.readers.remove(name) else { return };
        if !matches!(reader.read_new(&mut self.left_over), Ok(LogRead::Complete)) {
            self.peers.log_part_missed();
        }
        if let Some(location) = &self.location {
            // Another process may have removed it.
            _ = std::fs::remove_file(location.log_path(name));
        }
    }

    /// Reads all open logs; returns whether one of them could not be read now.
    fn read_logs(&mut self, commits: &mut Vec<SharedCommit>) -> bool {
        let State { peers, readers, .. } = self;
        let mut unreadable = false;
        readers.retain(|name, reader| {
            if !reader.is_published() {
                peers.log_lost(name);
                return false;
            }
            match reader.read_new(commits) {
                Ok(LogRead::Complete) => {}
                Ok(LogRead::PartMissed) => peers.log_part_missed(),
                Err(_) => unreadable = true,
            }
            true
        });
        unreadable
    }
}
