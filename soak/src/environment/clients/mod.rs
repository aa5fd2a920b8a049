//! The clients of the platform's routers, all run by one thread. Each client sends requests one after the
//! other and waits for each response. Under faults, clients disconnect, stall, pipeline or cancel requests.
mod commits;
mod connection;
mod event_loop;
mod requests;
mod settings;

pub use settings::{ClientFaults, ClientSettings, PROBABILITY_SCALE};

use super::clock::RunClock;
use super::service_thread::ServiceThread;
use crate::history::Recorder;
use event_loop::{EventLoop, SharedState};
use std::io;

/// A handle of the clients, which stop when it is dropped.
pub struct Clients {
    shared: SharedState,
    _thread: ServiceThread,
}

impl Clients {
    /// Starts the client thread.
    ///
    /// # Errors
    /// The poller or the thread can't be created.
    pub fn start(settings: ClientSettings, clock: &RunClock, recorder: &Recorder) -> io::Result<Clients> {
        let shared = SharedState::default();
        let mut event_loop = EventLoop::new(settings, clock.clone(), recorder.clone(), shared.clone())?;
        let thread = ServiceThread::spawn("clients", move |stop| event_loop.run(stop))?;
        Ok(Clients { shared, _thread: thread })
    }

    /// Changes the clients' faults.
    pub fn change_faults(&self, change: impl FnOnce(&mut ClientFaults)) {
        self.shared.change_faults(change);
    }

    /// Ends the load: clients send no further requests, but still receive pending responses.
    pub fn end_load(&self) {
        self.shared.end_load();
    }

    /// Returns the number of pending requests.
    pub fn pending_requests(&self) -> u64 {
        self.shared.pending_requests()
    }
}
