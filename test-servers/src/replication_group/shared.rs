//! State shared by the servers of a group: the log of commits, and a way to wait for changes.
use super::clock::Micros;
use super::server::Server;
use std::collections::HashMap;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// An item and its commit time.
struct Commit {
    at: Micros,
    item: u64,
}

/// The items of a session in commit order.
#[derive(Default)]
pub(super) struct SessionLog(Vec<Commit>);

impl SessionLog {
    pub(super) fn commit(&mut self, at: Micros, item: u64) {
        self.0.push(Commit { at, item });
    }

    pub(super) fn items(&self) -> Vec<u64> {
        self.0.iter().map(|commit| commit.item).collect()
    }

    /// Returns the highest item that was committed by the time `applied`.
    fn newest(&self, applied: Micros) -> Option<u64> {
        self.0.iter().filter(|commit| commit.at <= applied).map(|commit| commit.item).max()
    }
}

#[derive(Default)]
pub(super) struct State {
    /// Commit logs by session id.
    pub(super) log: HashMap<String, SessionLog>,
    pub(super) servers: Vec<Server>,
    /// Number of writes whose responses were withheld.
    pub(super) withheld_responses: usize,
}

impl State {
    /// Returns the newest item of a session that was committed by the time `applied`; 0 if there is none.
    pub(super) fn newest_item(&self, session: &str, applied: Micros) -> u64 {
        self.log.get(session).and_then(|log| log.newest(applied)).unwrap_or(0)
    }
}

pub(super) struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    /// Interval between two heartbeats.
    heartbeat_interval: Micros,
}

impl Shared {
    pub(super) fn new(heartbeat: Duration) -> Shared {
        let heartbeat_interval = (heartbeat.as_micros() as Micros).max(1);
        Shared { state: Mutex::default(), changed: Condvar::new(), heartbeat_interval }
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes all threads that wait for a change.
    pub(super) fn notify(&self) {
        self.changed.notify_all();
    }

    /// Adds a server and returns its index.
    pub(super) fn add(&self, server: Server) -> usize {
        let mut state = self.state();
        state.servers.push(server);
        state.servers.len() - 1
    }

    /// Changes a server's state and wakes the waiting threads.
    pub(super) fn update(&self, server: usize, update: impl FnOnce(&mut Server)) {
        update(&mut self.state().servers[server]);
        self.notify();
    }

    /// Waits while a condition holds for a server; returns `None` if the server has been shut down.
    pub(super) fn wait_while(
        &self,
        server: usize,
        condition: impl Fn(&Server) -> bool,
    ) -> Option<MutexGuard<'_, State>> {
        let blocked = |state: &mut State| {
            let server = &state.servers[server];
            condition(server) && !server.shut_down
        };
        let state = self.changed.wait_while(self.state(), blocked).unwrap_or_else(PoisonError::into_inner);
        (!state.servers[server].shut_down).then_some(state)
    }

    /// Waits until `writes` responses were withheld; returns `false` if the wait times out.
    pub(super) fn wait_for_withheld_responses(&self, writes: usize, timeout: Duration) -> bool {
        let missing = |state: &mut State| state.withheld_responses < writes;
        let waited = self.changed.wait_timeout_while(self.state(), timeout, missing);
        waited.is_ok_and(|(state, _)| state.withheld_responses >= writes)
    }

    /// Returns the time of the last heartbeat written by `time`.
    pub(super) fn last_heartbeat(&self, time: Micros) -> Micros {
        time / self.heartbeat_interval * self.heartbeat_interval
    }
}
