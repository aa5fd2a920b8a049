//! Lightweight `MySQL` clients. A few threads send all requests at precomputed times over a few connections
//! to each router, with one request in flight on each connection. The latency of a request is measured from
//! its scheduled time, so that it includes the wait for a free connection.
mod client_protocol;
mod client_thread;
mod connection;
mod result;
mod router_ports;
pub mod schedule;

pub use result::LoadResult;
pub use router_ports::RouterPorts;

use crate::plan::Plan;
use client_thread::ClientThread;
use schedule::ScheduledRequest;
use std::collections::VecDeque;
use std::io;
use std::thread::JoinHandle;
use std::time::Instant;

const THREAD_STACK_BYTES: usize = 512 << 10;

/// A load that is running in background threads.
pub struct RunningLoad {
    threads: Vec<JoinHandle<io::Result<LoadResult>>>,
}

impl RunningLoad {
    /// Waits until every request has an outcome, and returns the recorded results.
    ///
    /// # Errors
    /// Returns an error if a thread could not poll its connections or has panicked.
    pub fn join(self) -> io::Result<LoadResult> {
        let mut combined = LoadResult::default();
        for thread in self.threads {
            let result = thread.join().map_err(|_| io::Error::other("a load thread panicked"))??;
            combined.requests.extend(result.requests);
            combined.unexpected_responses.extend(result.unexpected_responses);
        }
        combined.requests.sort_by_key(|request| request.id);
        Ok(combined)
    }
}

/// Starts a plan's load at `load_start`; timestamps are relative to `run_start`.
///
/// # Errors
/// Returns an error if the system can't start a thread.
pub fn start(
    plan: &Plan,
    ports: &RouterPorts,
    run_start: Instant,
    load_start: Instant,
) -> io::Result<RunningLoad> {
    let mut schedules: Vec<VecDeque<ScheduledRequest>> = vec![VecDeque::new(); plan.load_threads];
    for request in schedule::generate(plan) {
        schedules[request.router % plan.load_threads].push_back(request);
    }
    let mut threads = Vec::new();
    for (index, schedule) in schedules.into_iter().enumerate() {
        let client = ClientThread::new(plan, index, schedule, ports.clone(), run_start, load_start)?;
        let thread = std::thread::Builder::new().name("load".into()).stack_size(THREAD_STACK_BYTES);
        threads.push(thread.spawn(move || client.run())?);
    }
    Ok(RunningLoad { threads })
}
