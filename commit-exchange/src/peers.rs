//! State machine that tracks the other processes of the router and whether their commits are known.
use std::collections::{BTreeMap, BTreeSet};

/// Name of a process, which is unique among all processes that ever ran as this router.
pub type ProcessName = String;

/// Whether a process had served clients before it created its log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServedBefore {
    /// The log contains all commits that the process has served.
    No,
    /// The process may have served commits that its log does not contain.
    Yes,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PeerLog {
    /// The process publishes no log, or its log cannot be read.
    Unavailable,
    /// The log is open.
    Open,
}

/// The other processes of this router.
#[derive(Debug, Default)]
pub struct Peers {
    logs: BTreeMap<ProcessName, PeerLog>,
    /// Whether commits may have been acknowledged since the last report that no log contains.
    commits_missed: bool,
}

impl Peers {
    /// Creates the state without other processes. `has_predecessor` is whether the router may have run before
    /// this process started.
    pub fn new(has_predecessor: bool) -> Peers {
        Peers { logs: BTreeMap::new(), commits_missed: has_predecessor }
    }

    /// Handles a count of the processes that are alive, without this one. Returns the processes that have ended
    /// and whose open logs have to be read to their end.
    pub fn processes_counted(&mut self, alive: &BTreeSet<ProcessName>) -> Vec<ProcessName> {
        let mut ended = Vec::new();
        self.logs.retain(|name, log| {
            let is_alive = alive.contains(name);
            if !is_alive && *log == PeerLog::Open {
                ended.push(name.clone());
            }
            // The commits of a process without a log are lost with it.
            self.commits_missed |= !is_alive && *log == PeerLog::Unavailable;
            is_alive
        });
        for name in alive {
            self.logs.entry(name.clone()).or_insert(PeerLog::Unavailable);
        }
        ended
    }

    /// Returns the processes whose log is not open.
    pub fn unavailable(&self) -> Vec<ProcessName> {
        let unavailable = self.logs.iter().filter(|(_, log)| **log == PeerLog::Unavailable);
        unavailable.map(|(name, _)| name.clone()).collect()
    }

    /// Records that a process's log was opened, before it was read.
    pub fn log_opened(&mut self, name: &str, served_before: ServedBefore) {
        if let Some(log) = self.logs.get_mut(name) {
            *log = PeerLog::Open;
        }
        self.commits_missed |= served_before == ServedBefore::Yes;
    }

    /// Records that a process's log can no longer be read.
    pub fn log_lost(&mut self, name: &str) {
        if let Some(log) = self.logs.get_mut(name) {
            *log = PeerLog::Unavailable;
        }
    }

    /// Records that a part of a log was overwritten before it was read.
    pub fn log_part_missed(&mut self) {
        self.commits_missed = true;
    }

    /// Returns whether there are no other processes.
    pub fn is_empty(&self) -> bool {
        self.logs.is_empty()
    }

    /// Returns whether commits may have been acknowledged, since the last call and until now, that no log
    /// contains.
    pub fn take_commits_missing(&mut self) -> bool {
        let missed = std::mem::take(&mut self.commits_missed);
        missed || self.logs.values().any(|log| *log == PeerLog::Unavailable)
    }
}
