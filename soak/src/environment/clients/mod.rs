//! The clients of the platform's routers: one thread for all of them. Each sends requests one after the other, waits for
//! each answer up to its deadline, and has the faults that are played: it disconnects, stalls, pipelines or cancels.
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

/// A handle of the clients; they end when it is dropped.
pub struct Clients {
    shared: SharedState,
    _thread: ServiceThread,
}

impl Clients {
    /// Starts the clients.
    ///
    /// # Errors
    /// Where no thread can be had.
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

    /// No client sends anything more; answers to what was sent are still awaited.
    pub fn end_load(&self) {
        self.shared.end_load();
    }

    /// How many requests await an answer.
    pub fn pending_requests(&self) -> u64 {
        self.shared.pending_requests()
    }
}
