//! The requests of one connection that have no response yet, and whether its client has disconnected.
use routing::RequestId;
use std::sync::{Mutex, MutexGuard};

/// Requests in flight, oldest first, and whether the client has disconnected. One lock guards both: a request is
/// either seen by whoever notices the disconnect, or never submitted.
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
    /// Submits a request and returns its id; `None`, without submitting, if the client has disconnected.
    pub fn begin(&self, submit: impl FnOnce() -> RequestId) -> Option<RequestId> {
        let mut state = self.lock();
        if state.disconnected {
            return None;
        }
        let id = submit();
        state.requests.push(id);
        Some(id)
    }

    /// Removes a request that has its response or was cancelled; `false` if a disconnect has removed it before.
    pub fn finish(&self, id: RequestId) -> bool {
        let mut state = self.lock();
        let position = state.requests.iter().position(|request| *request == id);
        position.map(|position| state.requests.remove(position)).is_some()
    }

    /// The request that is answered next.
    pub fn oldest(&self) -> Option<RequestId> {
        self.lock().requests.first().copied()
    }

    /// Whether the client has disconnected.
    pub fn is_disconnected(&self) -> bool {
        self.lock().disconnected
    }

    /// The client has disconnected: removes each request, calls `cancel` with it, and lets none follow. Returns how
    /// many requests there were, `None` if the disconnect was known before.
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
