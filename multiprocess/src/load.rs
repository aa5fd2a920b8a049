//! Light `MySQL` clients: a few threads send all requests at times that were decided before, over a few connections to
//! each router, one request at a time on each. The latency of a request that waits for a connection counts from when it
//! was due.
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

/// A load that is being sent.
pub struct RunningLoad {
    threads: Vec<JoinHandle<io::Result<LoadResult>>>,
}

impl RunningLoad {
    /// Waits until every request has ended.
    ///
    /// # Errors
    /// A thread could not poll its connections, or has panicked.
    pub fn join(self) -> io::Result<LoadResult> {
        let mut all = LoadResult::default();
        for thread in self.threads {
            let result = thread.join().map_err(|_| io::Error::other("a load thread broke"))??;
            all.requests.extend(result.requests);
            all.unexpected_answers.extend(result.unexpected_answers);
        }
        all.requests.sort_by_key(|request| request.id);
        Ok(all)
    }
}

/// Starts a plan's load at `begin`; times count from `epoch`.
///
/// # Errors
/// The system has no thread left.
pub fn start(plan: &Plan, ports: &RouterPorts, epoch: Instant, begin: Instant) -> io::Result<RunningLoad> {
    let mut schedules: Vec<VecDeque<ScheduledRequest>> = vec![VecDeque::new(); plan.load_threads];
    for request in schedule::draw(plan) {
        schedules[request.router % plan.load_threads].push_back(request);
    }
    let mut threads = Vec::new();
    for (index, schedule) in schedules.into_iter().enumerate() {
        let client = ClientThread::new(plan, index, schedule, ports.clone(), epoch, begin)?;
        let thread = std::thread::Builder::new().name("load".into()).stack_size(THREAD_STACK_BYTES);
        threads.push(thread.spawn(move || client.run())?);
    }
    Ok(RunningLoad { threads })
}
