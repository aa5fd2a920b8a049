//! Idle connections, and the count of all connections that the connection limit applies to.
use crate::protocol::BackendProtocol;
use crate::released_connection::ReleasedConnection;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// A connection that is not running an exchange and therefore has no thread.
pub(crate) struct IdleConnection<P: BackendProtocol> {
    /// The connection; `None` if it has not been opened yet.
    pub(crate) connection: Option<ReleasedConnection<P>>,
    /// Time of the last response on the connection.
    pub(crate) since: Instant,
    /// Slot of the connection in the total count.
    pub(crate) slot: ConnectionSlot,
}

impl<P: BackendProtocol> IdleConnection<P> {
    /// Returns how long the connection has been idle.
    pub(crate) fn idle_for(&self) -> Duration {
        self.since.elapsed()
    }
}

/// Number of open or opening connections of all backends. Clones share one count.
#[derive(Clone, Default)]
pub(crate) struct ConnectionCount(Arc<AtomicUsize>);

impl ConnectionCount {
    /// Counts one more connection until its slot is dropped.
    pub(crate) fn acquire(&self) -> AcquiredSlot {
        let open_before = self.0.fetch_add(1, Ordering::Relaxed);
        AcquiredSlot { open_before, slot: ConnectionSlot(self.clone()) }
    }

    /// Replaces the number of connections that are reserved for other processes.
    pub(crate) fn replace_reserved(&self, old: usize, new: usize) {
        self.0.fetch_add(new, Ordering::Relaxed);
        self.0.fetch_sub(old, Ordering::Relaxed);
    }
}

/// A connection slot, and the number of connections that were open before it was acquired.
pub(crate) struct AcquiredSlot {
    pub(crate) open_before: usize,
    pub(crate) slot: ConnectionSlot,
}

/// Counts one connection until it is dropped.
pub(crate) struct ConnectionSlot(ConnectionCount);

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}
