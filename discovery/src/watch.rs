//! The public handle of a watch.

use crate::driver::Driver;
use crate::shared::{Shared, lock};
use mio::Waker;
use routing::{EndpointsHandle, spawn_needed};
use settings::Limits;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Handle of a watch. The watch continues after all handles are dropped, until the endpoint list's actor
/// ends.
#[derive(Clone)]
pub struct Watch {
    shared: Arc<Shared>,
}

impl Watch {
    /// Creates a watch that follows no address yet. `zones` are the names of the configured zones; a zone's
    /// index is its number. Updates are sent to `list`, which also stores the version to resume from.
    pub fn new(zones: Vec<String>, limits: Arc<Limits>, list: EndpointsHandle) -> Self {
        Watch { shared: Arc::new(Shared::new(zones, limits, list)) }
    }

    /// Switches the watch to this address. Updates from the previous address are still applied until the new
    /// one has sent an update, or an empty line and a grace period has passed.
    ///
    /// # Errors
    /// If no thread can be started, or no file descriptor is left; raise the limits of the user that the
    /// router runs as.
    pub fn follow(&self, addr: SocketAddr) -> io::Result<()> {
        let mut running = lock(&self.shared.waker);
        let waker = match running.take() {
            Some(waker) => waker,
            None => self.start_driver(addr)?,
        };
        // Sending fails only after the driver has ended together with the endpoint list.
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

    /// Waits up to `timeout` for the first line from the discovery agent. Returns `true` once the first
    /// update was sent to the list, or once the agent indicated by an empty line that it has none.
    ///
    /// A new process must know the agent's endpoint list before it accepts clients, so call this first. An
    /// agent that sends a response head but no line while it has no update cannot be distinguished from a
    /// silent one; in that case the full `timeout` passes.
    pub fn wait_for_first_line(&self, timeout: Duration) -> bool {
        self.shared.first_line.wait(timeout)
    }
}
