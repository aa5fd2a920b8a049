//! The requests of one connection that have no response yet, and whether its client has disconnected.
use routing::RequestId;
use std::sync::{Mutex, MutexGuard};

/// Requests in flight, oldest first, and whether the client has disconnected. One lock guards both, so that a
/// disconnect either sees and cancels a request, or prevents it from being submitted.
#[derive(Debug, Default)]
pub struct InFlightRequests {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    disconnected: bool,
    requests: Vec<RequestId>,
}

impl InFlightRequests {
    /// Submits a request and returns its id; returns `None`, without submitting, if the client has
    /// disconnected.
    pub fn begin(&self, submit: impl FnOnce() -> RequestId) -> Option<RequestId> {
        let mut state = self.lock();
        if state.disconnected {
            return None;
        }
        let id = submit();
        state.requests.push(id);
        Some(id)
    }

    /// Removes a request that has its response or was cancelled; returns `false` if a disconnect has removed
    /// it already.
    pub fn finish(&self, id: RequestId) -> bool {
        let mut state = self.lock();
        let index = state.requests.iter().position(|request| *request == id);
        index.map(|index| state.requests.remove(index)).is_some()
    }

    /// Returns the oldest request, whose response is due next.
    pub fn oldest(&self) -> Option<RequestId> {
        self.lock().requests.first().copied()
    }

    /// Returns whether the client has disconnected.
    pub fn is_disconnected(&self) -> bool {
        self.lock().disconnected
    }

    /// Records that the client has disconnected: removes each request in flight, calls `cancel` with its id,
    /// and prevents further requests. Returns the number of removed requests, or `None` if the disconnect was
    /// recorded before.
    pub fn disconnect(&self, cancel: impl FnMut(RequestId)) -> Option<usize> {
        let mut state = self.lock();
        let first_report = !std::mem::replace(&mut state.disconnected, true);
        let requests = std::mem::take(&mut state.requests);
        requests.iter().copied().for_each(cancel);
        first_report.then_some(requests.len())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
