//! The handle of a watch.

use crate::driver::Driver;
use crate::shared::{Shared, lock};
use mio::Waker;
use routing::{EndpointsHandle, spawn_needed};
use settings::Limits;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Handle of the watch. The watch goes on without handles, until the actor of the list has ended.
#[derive(Clone)]
pub struct Watch {
    shared: Arc<Shared>,
}

impl Watch {
    /// A watch that follows no address yet. `zones` are the names of the configured zones, whose places are their
    /// numbers. Updates go to `list`, which also holds the version to resume from.
    pub fn new(zones: Vec<String>, limits: Arc<Limits>, list: EndpointsHandle) -> Self {
        Watch { shared: Arc::new(Shared::new(zones, limits, list)) }
    }

    /// Watches this address from now on. Until it has brought something, updates from the previous one still count.
    ///
    /// # Errors
    /// No thread can be started, or no descriptor is left for its poll; raise the limits of the user that the router
    /// runs as.
    pub fn follow(&self, addr: SocketAddr) -> io::Result<()> {
        let mut running = lock(&self.shared.waker);
        let waker = match running.take() {
            Some(waker) => waker,
            None => self.start_driver(addr)?,
        };
        // An error means that the driver has ended, and so has the program's list.
        _ = self.shared.addresses.send(addr);
        let woken = waker.wake();
        *running = Some(waker);
        woken
    }

    fn start_driver(&self, addr: SocketAddr) -> io::Result<Waker> {
        let (driver, waker) = Driver::new(self.shared.clone(), addr)?;
        let addresses = self.shared.address_queue.clone();
        spawn_needed("discovery", self.shared.limits.socket_thread_stack_bytes, move || {
            driver.run(&addresses);
        })?;
        Ok(waker)
    }

    /// Waits until the agent has sent what it has, at most for `timeout`. Gives `true` once its first update was handed
    /// to the list, or once it stated by an empty line that it has none.
    ///
    /// Whatever the agent has counts as known from the first moment of a new process, so call this before clients are
    /// accepted. An agent that opens the answer and sends no line while it has no update can't be distinguished from a
    /// silent one: then the whole `timeout` passes.
    pub fn wait_for_first_line(&self, timeout: Duration) -> bool {
        self.shared.first_line.wait(timeout)
    }
}
