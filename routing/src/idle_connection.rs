//! Idle connections, and the count of all connections, which the limit applies to.
use crate::protocol::BackendProtocol;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// A connection without an exchange, and so without a thread.
pub(crate) struct IdleConnection<P: BackendProtocol> {
    /// The connection; `None` where it is still to be opened.
    pub(crate) connection: Option<P::Connection>,
    /// Since its last response.
    pub(crate) since: Instant,
    /// Counts it among all connections.
    pub(crate) slot: ConnectionSlot,
}

impl<P: BackendProtocol> IdleConnection<P> {
    /// How long it has been idle.
    pub(crate) fn idle_for(&self) -> Duration {
        self.since.elapsed()
    }
}

/// The number of connections of all backends together, open or being opened. Copies share one count.
#[derive(Clone, Default)]
pub(crate) struct ConnectionCount(Arc<AtomicUsize>);

impl ConnectionCount {
    /// Counts one more connection until its slot is dropped.
    pub(crate) fn acquire(&self) -> AcquiredSlot {
        let open_before = self.0.fetch_add(1, Ordering::Relaxed);
        AcquiredSlot { open_before, slot: ConnectionSlot(self.clone()) }
    }

    /// Replaces a number of places set aside for other processes by another.
    pub(crate) fn replace_reserved(&self, old: usize, new: usize) {
        self.0.fetch_add(new, Ordering::Relaxed);
        self.0.fetch_sub(old, Ordering::Relaxed);
    }
}

/// A slot, and the number of connections that were open before it.
pub(crate) struct AcquiredSlot {
    pub(crate) open_before: usize,
    pub(crate) slot: ConnectionSlot,
}

/// Counts a connection until it is dropped.
pub(crate) struct ConnectionSlot(ConnectionCount);

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}
