//! What the servers of a group share: the log of commits, and a way to wait for changes.
use super::clock::Micros;
use super::server::Server;
use std::collections::HashMap;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// A committed item.
struct Commit {
    at: Micros,
    item: u64,
}

/// The items of a session, in the order of their commits.
#[derive(Default)]
pub(super) struct SessionLog(Vec<Commit>);

impl SessionLog {
    pub(super) fn commit(&mut self, at: Micros, item: u64) {
        self.0.push(Commit { at, item });
    }

    pub(super) fn items(&self) -> Vec<u64> {
        self.0.iter().map(|commit| commit.item).collect()
    }

    /// The highest item that was committed up to a time.
    fn newest(&self, applied: Micros) -> Option<u64> {
        self.0.iter().filter(|commit| commit.at <= applied).map(|commit| commit.item).max()
    }
}

#[derive(Default)]
pub(super) struct State {
    /// Commits by session.
    pub(super) log: HashMap<String, SessionLog>,
    pub(super) servers: Vec<Server>,
    /// Writes that ran and whose answers were withheld.
    pub(super) withheld_answers: usize,
}

impl State {
    /// The newest item of a session that was committed up to a time; 0 for none.
    pub(super) fn newest_item(&self, session: &str, applied: Micros) -> u64 {
        self.log.get(session).and_then(|log| log.newest(applied)).unwrap_or(0)
    }
}

pub(super) struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    /// Heartbeats are written at this interval.
    heartbeat: Micros,
}

impl Shared {
    pub(super) fn new(heartbeat: Duration) -> Shared {
        let heartbeat = (heartbeat.as_micros() as Micros).max(1);
        Shared { state: Mutex::default(), changed: Condvar::new(), heartbeat }
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes what waits for a change.
    pub(super) fn notify(&self) {
        self.changed.notify_all();
    }

    /// Adds a server; returns its index.
    pub(super) fn add(&self, server: Server) -> usize {
        let mut state = self.state();
        state.servers.push(server);
        state.servers.len() - 1
    }

    /// Changes a server.
    pub(super) fn update(&self, server: usize, update: impl FnOnce(&mut Server)) {
        update(&mut self.state().servers[server]);
        self.notify();
    }

    /// Waits while a condition holds at a server; `None` where the server has ended.
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

    /// Waits until this many answers were withheld; `false` at the timeout.
    pub(super) fn wait_for_withheld_answers(&self, writes: usize, timeout: Duration) -> bool {
        let missing = |state: &mut State| state.withheld_answers < writes;
        let waited = self.changed.wait_timeout_while(self.state(), timeout, missing);
        waited.is_ok_and(|(state, _)| state.withheld_answers >= writes)
    }

    /// The last heartbeat up to a time.
    pub(super) fn heartbeat(&self, time: Micros) -> Micros {
        time / self.heartbeat * self.heartbeat
    }
}
