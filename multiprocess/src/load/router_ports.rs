//! The routers' ports, shared between the load and the code that starts and stops routers.
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};

/// Placeholder for the port of a router that is down.
const DOWN_PORT: u16 = 0;

/// The ports on 127.0.0.1 on which the routers listen. Clones share the same ports.
#[derive(Clone, Debug)]
pub struct RouterPorts(Arc<Vec<AtomicU16>>);

impl RouterPorts {
    /// Creates the ports of `routers` routers, all of them down.
    pub fn new(routers: usize) -> RouterPorts {
        RouterPorts(Arc::new((0..routers).map(|_| AtomicU16::new(DOWN_PORT)).collect()))
    }

    /// Returns a router's address; `None` while the router is down.
    pub fn address(&self, router: usize) -> Option<SocketAddr> {
        match self.0[router].load(Ordering::Relaxed) {
            DOWN_PORT => None,
            port => Some(SocketAddr::from(([127, 0, 0, 1], port))),
        }
    }

    /// Sets the port on which a router listens.
    pub fn set(&self, router: usize, port: u16) {
        self.0[router].store(port, Ordering::Relaxed);
    }

    /// Marks a router as down.
    pub fn set_down(&self, router: usize) {
        self.set(router, DOWN_PORT);
    }
}
