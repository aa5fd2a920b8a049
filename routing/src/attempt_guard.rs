//! The cancellation token of an exchange.
//!
//! What forbids an exchange to start (its client left, its endpoint drains, its time is over) is written to the guard
//! and read right before the first byte: the same through a mailbox could arrive too late, or be lost where that is
//! full.
use crate::endpoint_state::EndpointState;
use prometheus::IntCounter;
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

#[derive(Default)]
struct Progress {
    /// The connection that carries the exchange, while one does.
    socket: Option<Arc<TcpStream>>,
    started: bool,
    cancelled: bool,
    /// A start that has not happened yet is forbidden; what has started goes on.
    start_forbidden: bool,
    /// Incremented once, when the exchange has been completely written.
    sent_counter: Option<IntCounter>,
}

#[derive(Default)]
struct Shared {
    endpoint: EndpointState,
    /// After this moment the exchange must not start.
    latest_start: Option<Instant>,
    progress: Mutex<Progress>,
}

/// Cancels an exchange from another thread: one that has not started is never sent; of one that has, the connection is
/// shut down. Copies guard the same exchange.
///
/// The default guard belongs to no endpoint and always allows a start.
#[derive(Clone, Default)]
pub struct AttemptGuard(Arc<Shared>);

impl AttemptGuard {
    /// A guard for an exchange that may start while its endpoint accepts exchanges.
    pub fn new(endpoint: EndpointState) -> AttemptGuard {
        AttemptGuard(Arc::new(Shared { endpoint, ..Shared::default() }))
    }

    /// A guard for an attempt whose first byte must not be written after `latest_start`; `sent_counter` is incremented
    /// once its last byte has been written.
    pub fn for_attempt(
        endpoint: EndpointState,
        latest_start: Instant,
        sent_counter: Option<IntCounter>,
    ) -> AttemptGuard {
        let progress = Mutex::new(Progress { sent_counter, ..Progress::default() });
        AttemptGuard(Arc::new(Shared { endpoint, latest_start: Some(latest_start), progress }))
    }

    fn progress(&self) -> MutexGuard<'_, Progress> {
        self.0.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn allows_start(&self, progress: &Progress) -> bool {
        let in_time = self.0.latest_start.is_none_or(|latest| Instant::now() <= latest);
        !progress.cancelled && !progress.start_forbidden && in_time && self.0.endpoint.accepts_exchanges()
    }

    /// Whether the exchange could start now: no connection is opened for one that could not.
    pub fn can_start(&self) -> bool {
        self.allows_start(&self.progress())
    }

    /// Starts the exchange if it may start. To be called right before its first byte is written, each time that it is
    /// written.
    pub fn try_start(&self) -> bool {
        let mut progress = self.progress();
        let allowed = self.allows_start(&progress);
        progress.started |= allowed;
        allowed
    }

    /// Counts the exchange as sent. To be called when its last byte has been written.
    pub fn mark_sent(&self) {
        if let Some(counter) = self.progress().sent_counter.take() {
            counter.inc();
        }
    }

    /// Names the connection that carries the exchange from now on.
    pub fn attach_socket(&self, socket: Arc<TcpStream>) {
        self.progress().socket = Some(socket);
    }

    /// The exchange is through with its connection, which may carry another from now on and must not be shut down any
    /// more. An exchange that broke before its last byte has not started: what forbids a start binds its next
    /// connection.
    pub fn detach_socket(&self) {
        let mut progress = self.progress();
        progress.socket = None;
        progress.started = false;
    }

    /// Cancels the exchange, started or not.
    pub fn cancel(&self) {
        let mut progress = self.progress();
        progress.cancelled = true;
        if let Some(socket) = progress.socket.take().filter(|_| progress.started) {
            // An error means that it is closed already.
            _ = socket.shutdown(Shutdown::Both);
        }
    }

    /// Forbids any further start; an exchange that has started goes on to its end.
    pub fn cancel_if_unstarted(&self) {
        self.progress().start_forbidden = true;
    }
}
