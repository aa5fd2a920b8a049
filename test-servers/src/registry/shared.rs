//! State shared by the registry's threads, and a way to wait for its changes.
use super::contents::LeaseId;
use super::state::State;
use rustls::ServerConfig;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

pub(super) struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    tls: Mutex<Option<Arc<ServerConfig>>>,
}

impl Shared {
    pub(super) fn new(tls: Option<Arc<ServerConfig>>) -> Shared {
        Shared { state: Mutex::default(), changed: Condvar::new(), tls: Mutex::new(tls) }
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes all threads that wait for a change.
    pub(super) fn notify(&self) {
        self.changed.notify_all();
    }

    pub(super) fn wait_while(&self, condition: impl FnMut(&mut State) -> bool) -> MutexGuard<'_, State> {
        self.changed.wait_while(self.state(), condition).unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn wait_timeout_while(
        &self,
        timeout: Duration,
        condition: impl FnMut(&mut State) -> bool,
    ) -> MutexGuard<'_, State> {
        let waited = self.changed.wait_timeout_while(self.state(), timeout, condition);
        waited.unwrap_or_else(PoisonError::into_inner).0
    }

    pub(super) fn tls(&self) -> Option<Arc<ServerConfig>> {
        self.tls.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(super) fn set_tls(&self, tls: Arc<ServerConfig>) {
        *self.tls.lock().unwrap_or_else(PoisonError::into_inner) = Some(tls);
    }

    /// Ends leases, deletes their keys, and wakes the waiting threads.
    pub(super) fn end_leases(&self, ended: &[LeaseId]) {
        self.state().end_leases(ended);
        self.notify();
    }
}
