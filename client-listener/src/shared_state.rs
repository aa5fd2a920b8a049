//! State that all connections of one server share.
use crate::shutdown::ClosePolicy;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicUsize, Ordering};

/// Server state that its connections read.
#[derive(Debug, Default)]
pub(crate) struct SharedState {
    /// Number of open connections that have made a request.
    connections_with_requests: AtomicUsize,
    /// The current [`ClosePolicy`] as a number.
    close_policy: AtomicU8,
    draining: AtomicBool,
}

impl SharedState {
    pub(crate) fn close_policy(&self) -> ClosePolicy {
        self.close_policy.load(Ordering::SeqCst).into()
    }

    pub(crate) fn set_close_policy(&self, policy: ClosePolicy) {
        self.close_policy.store(policy as u8, Ordering::SeqCst);
    }

    /// Returns whether operators are draining the router.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    pub(crate) fn set_draining(&self, draining: bool) {
        self.draining.store(draining, Ordering::SeqCst);
    }

    pub(crate) fn connections_with_requests(&self) -> usize {
        self.connections_with_requests.load(Ordering::Relaxed)
    }

    /// Adds a connection, which has made its first request, to the count.
    pub(crate) fn add_connection_with_requests(&self) {
        self.connections_with_requests.fetch_add(1, Ordering::Relaxed);
    }

    /// Removes a closed connection from the count.
    pub(crate) fn remove_connection_with_requests(&self) {
        self.connections_with_requests.fetch_sub(1, Ordering::Relaxed);
    }
}
