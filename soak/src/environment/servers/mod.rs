//! The simulated servers: a primary and its replicas for each group, one thread for all of them. Each pair of a router and a
//! server has a listener of its own, which is the near end of their link.
mod connection;
mod event_loop;
mod state;
mod statement;

pub use state::{CAPACITY, Server, ServerFaults, ServersState};

use super::acceptor::Acceptor;
use super::clock::RunClock;
use super::link::LinkId;
use super::service_thread::ServiceThread;
use crate::history::Recorder;
use crate::plan::Plan;
use crate::time::Micros;
use event_loop::EventLoop;
use state::lock;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

/// A handle of the servers; they end when it is dropped.
pub struct Servers {
    state: Arc<Mutex<ServersState>>,
    /// Addresses by router, then by server.
    pub addresses: Vec<Vec<SocketAddr>>,
    _thread: ServiceThread,
}

impl Servers {
    /// Starts the servers of a plan.
    ///
    /// # Errors
    /// Where no port or no thread can be had.
    pub fn start(plan: &Plan, clock: &RunClock, recorder: &Recorder) -> io::Result<Servers> {
        let state = Arc::new(Mutex::new(ServersState::new(plan)));
        let mut acceptor = Acceptor::new()?;
        let mut addresses = vec![Vec::new(); plan.routers];
        for (router, own) in addresses.iter_mut().enumerate() {
            for server in 0..plan.servers() {
                own.push(acceptor.bind(LinkId { router, server })?);
            }
        }
        let mut event_loop = EventLoop::new(state.clone(), acceptor, clock.clone(), recorder.clone());
        let thread = ServiceThread::spawn("servers", move |stop| event_loop.run(stop))?;
        Ok(Servers { state, addresses, _thread: thread })
    }

    /// The servers' state, for as long as the guard lives.
    pub fn lock(&self) -> MutexGuard<'_, ServersState> {
        lock(&self.state)
    }

    /// A server's process dies: its connections are reset, and new ones are refused.
    pub fn crash(&self, server: usize, now: Micros) {
        self.lock().servers[server].crash(now);
    }

    /// A server's process starts, in the role that it had.
    pub fn revive(&self, server: usize) {
        self.lock().servers[server].alive = true;
    }

    /// Another member of the server's group becomes primary, with all that was committed.
    pub fn fail_over(&self, server: usize, now: Micros) {
        self.lock().fail_over(server, now);
    }
}
