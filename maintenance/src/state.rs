//! The stored state: instances in maintenance, recently restored instances, and the drain.
use decision::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// An instance in maintenance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MaintenanceEntry {
    /// When the instance was put in maintenance.
    pub since: Time,
}

/// State that outlives a process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StoredState", into = "StoredState")]
pub struct State {
    /// Number of changes made by commands: of two states, the state with the higher revision is the later
    /// one.
    pub revision: u64,
    /// Instances in maintenance, by id.
    pub in_maintenance: BTreeMap<String, MaintenanceEntry>,
    /// Recently restored instances, and when each was restored. An instance may have been restarted during
    /// maintenance, so it warms up from this time.
    pub restored: BTreeMap<String, Time>,
    /// When the drain began, if the router drains.
    pub draining_since: Option<Time>,
}

/// The encoded form of the state, with times as numbers of microseconds. The encoding is positional: the
/// order and types of the fields define the stored form, their names do not.
#[derive(Serialize, Deserialize)]
struct StoredState {
    revision: u64,
    in_maintenance: BTreeMap<String, i64>,
    restored: BTreeMap<String, i64>,
    draining_since: Option<i64>,
}

impl From<State> for StoredState {
    fn from(state: State) -> StoredState {
        StoredState {
            revision: state.revision,
            in_maintenance: state.in_maintenance.into_iter().map(|(id, entry)| (id, entry.since.0)).collect(),
            restored: state.restored.into_iter().map(|(id, at)| (id, at.0)).collect(),
            draining_since: state.draining_since.map(|at| at.0),
        }
    }
}

impl From<StoredState> for State {
    fn from(stored: StoredState) -> State {
        let entry = |since| MaintenanceEntry { since: Time(since) };
        State {
            revision: stored.revision,
            in_maintenance: stored.in_maintenance.into_iter().map(|(id, since)| (id, entry(since))).collect(),
            restored: stored.restored.into_iter().map(|(id, at)| (id, Time(at))).collect(),
            draining_since: stored.draining_since.map(Time),
        }
    }
}
