//! The simulated servers, all run by one thread: a primary and its replicas for each group. Each pair of a
//! router and a server has its own listener, which is the router's end of their link.
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

/// A handle of the servers, which stop when it is dropped.
pub struct Servers {
    state: Arc<Mutex<ServersState>>,
    /// The listen addresses, by router and then by server.
    pub addresses: Vec<Vec<SocketAddr>>,
    _thread: ServiceThread,
}

impl Servers {
    /// Starts the servers of a plan.
    ///
    /// # Errors
    /// A port, the poller or the thread is not available.
    pub fn start(plan: &Plan, clock: &RunClock, recorder: &Recorder) -> io::Result<Servers> {
        let state = Arc::new(Mutex::new(ServersState::new(plan)));
        let mut acceptor = Acceptor::new()?;
        let mut addresses = vec![Vec::new(); plan.routers];
        for (router, router_addresses) in addresses.iter_mut().enumerate() {
            for server in 0..plan.servers() {
                router_addresses.push(acceptor.bind(LinkId { router, server })?);
            }
        }
        let mut event_loop = EventLoop::new(state.clone(), acceptor, clock.clone(), recorder.clone());
        let thread = ServiceThread::spawn("servers", move |stop| event_loop.run(stop))?;
        Ok(Servers { state, addresses, _thread: thread })
    }

    /// Locks the servers' state.
    pub fn lock(&self) -> MutexGuard<'_, ServersState> {
        lock(&self.state)
    }

    /// Crashes a server process: its open connections are reset, and so are new ones until it restarts.
    pub fn crash(&self, server: usize, now: Micros) {
        self.lock().servers[server].crash(now);
    }

    /// Restarts a server process in its previous role.
    pub fn restart(&self, server: usize) {
        self.lock().servers[server].alive = true;
    }

    /// Promotes another member of the server's group to primary; the new primary has all
    /// committed data.
    pub fn fail_over(&self, server: usize, now: Micros) {
        self.lock().fail_over(server, now);
    }
}
