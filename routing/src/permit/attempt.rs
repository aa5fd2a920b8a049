//! Permits of one exchange with a server, and its cancellation token.
//!
//! What forbids an exchange to start (its client has disconnected, its endpoint is draining, its time is over) is written
//! to the guard and read right before the first byte. A message to the thread could arrive too late, or be lost if the
//! mailbox is full.
use super::denial::{Denial, Verdict};
use super::endpoint_state::EndpointState;
use super::server_socket::ServerSocket;
use crate::attempt_id::AttemptId;
use prometheus::IntCounter;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

#[derive(Default)]
struct Progress {
    /// The connection that carries the exchange, while one does.
    socket: Option<ServerSocket>,
    started: bool,
    /// The reason for which it is cancelled, whether started or not.
    cancelled: Option<Denial>,
    /// The reason for which it must not start any more; an exchange that has started continues.
    start_forbidden: Option<Denial>,
    times: AttemptTimes,
    /// Incremented once, when the exchange has been completely written.
    sent_counter: Option<IntCounter>,
}

/// The times of the steps that an attempt has passed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptTimes {
    /// When a connection was first permitted, while the exchange has not started on it.
    pub connecting_since: Option<Instant>,
    /// When the first byte was last permitted.
    pub permitted_at: Option<Instant>,
    /// When its endpoint left service, if it had by then.
    pub endpoint_left_at: Option<Instant>,
    /// When the last byte was written.
    pub sent_at: Option<Instant>,
    /// The last denial, unless a permit has followed.
    pub denied: Option<Denial>,
}

#[derive(Default)]
struct Shared {
    /// For the log; `None` for a probe.
    attempt: Option<AttemptId>,
    endpoint: EndpointState,
    /// After this moment the exchange must not start.
    latest_start: Option<Instant>,
    progress: Mutex<Progress>,
}

/// Permits an exchange's steps and cancels it from another thread: one that has not started is never sent; of one that
/// has, the connection is shut down. Copies guard the same exchange.
///
/// The default guard belongs to no endpoint and always permits a start.
#[derive(Clone, Default)]
pub struct AttemptGuard(Arc<Shared>);

/// The permission to write one request to a server. It comes from [`AttemptGuard::permit_write`] alone, and the
/// request's last write consumes it.
#[must_use]
pub struct WritePermit(AttemptGuard);

/// The permission to open a connection and log in, or to check that an idle one still works.
#[must_use]
pub struct ConnectionPermit(());

impl WritePermit {
    /// The request's last byte has been written.
    pub(super) fn consume(self) {
        let mut progress = self.0.progress();
        progress.times.sent_at = Some(Instant::now());
        if let Some(counter) = progress.sent_counter.take() {
            counter.inc();
        }
        drop(progress);
        if let Some(AttemptId { request, number }) = self.0.0.attempt {
            tracing::debug!(request = request.0, attempt = number, "attempt sent");
        }
    }
}

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
        AttemptGuard(Arc::new(Shared { attempt: None, endpoint, latest_start: Some(latest_start), progress }))
    }

    /// Adds the id of the attempt for the log. Has no effect once the guard has been cloned.
    #[must_use]
    pub fn identified(mut self, attempt: AttemptId) -> AttemptGuard {
        if let Some(shared) = Arc::get_mut(&mut self.0) {
            shared.attempt = Some(attempt);
        }
        self
    }

    fn progress(&self) -> MutexGuard<'_, Progress> {
        self.0.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn may_start(&self, progress: &Progress, now: Instant) -> Verdict {
        if let Some(denial) = progress.cancelled.or(progress.start_forbidden) {
            return Err(denial);
        }
        if self.0.latest_start.is_some_and(|latest| now > latest) {
            return Err(Denial::StartTooLate);
        }
        self.0.endpoint.permits_exchange()
    }

    /// Whether the exchange could start now. A denial is recorded in [`AttemptTimes::denied`].
    ///
    /// # Errors
    /// The reason for which it could not.
    pub fn check_start(&self) -> Verdict {
        let mut progress = self.progress();
        let verdict = self.may_start(&progress, Instant::now());
        progress.times.denied = verdict.err();
        verdict
    }

    /// Permits to open or check a connection for the exchange, if the exchange could start now.
    ///
    /// # Errors
    /// The reason for which it could not.
    pub fn permit_connection(&self) -> Verdict<ConnectionPermit> {
        self.check_start()?;
        let mut progress = self.progress();
        progress.times.connecting_since.get_or_insert_with(Instant::now);
        Ok(ConnectionPermit(()))
    }

    /// Permits the exchange's first byte. Must be called right before each time that it is written.
    ///
    /// # Errors
    /// The reason for which it must not be written.
    pub fn permit_write(&self) -> Verdict<WritePermit> {
        let mut progress = self.progress();
        let now = Instant::now();
        let verdict = self.may_start(&progress, now);
        progress.times.denied = verdict.err();
        verdict?;
        progress.started = true;
        progress.times.connecting_since = None;
        progress.times.permitted_at = Some(now);
        progress.times.endpoint_left_at = self.0.endpoint.left_at();
        drop(progress);
        if let Some(AttemptId { request, number }) = self.0.attempt {
            tracing::debug!(request = request.0, attempt = number, "attempt permitted");
        }
        Ok(WritePermit(self.clone()))
    }

    /// The times of the steps that the exchange has passed.
    pub fn times(&self) -> AttemptTimes {
        self.progress().times
    }

    /// Sets the connection that carries the exchange from now on.
    pub fn attach_socket(&self, socket: ServerSocket) {
        self.progress().socket = Some(socket);
    }

    /// Detaches the exchange from its connection, which may carry another from now on and must not be shut down any
    /// more. An exchange that broke before its last byte has not started: what forbids a start applies to its next
    /// connection too.
    pub fn detach_socket(&self) {
        let mut progress = self.progress();
        progress.socket = None;
        progress.started = false;
    }

    /// Cancels the exchange, started or not; returns whether it may have reached the server by now.
    pub fn cancel(&self, reason: Denial) -> bool {
        let mut progress = self.progress();
        progress.cancelled.get_or_insert(reason);
        if let Some(socket) = progress.socket.take().filter(|_| progress.started) {
            socket.shut_down();
        }
        // A detached exchange was sent, though its result is not known here yet.
        progress.started || progress.times.sent_at.is_some()
    }

    /// Forbids any further start; an exchange that has started continues to its end.
    pub fn cancel_if_unstarted(&self, reason: Denial) {
        self.progress().start_forbidden.get_or_insert(reason);
    }
}
