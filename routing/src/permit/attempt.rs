//! The permits of one exchange with a server, and its cancellation token.
//!
//! A condition that prevents an exchange from starting (client disconnected, endpoint draining, deadline
//! expired) is stored in the guard and read immediately before the first byte is written. A message to the
//! exchange's thread could arrive too late or be lost in a full mailbox.
use super::denial::{Denial, Verdict};
use super::endpoint_state::EndpointState;
use super::server_socket::ServerSocket;
use crate::attempt_id::AttemptId;
use prometheus::IntCounter;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

#[derive(Default)]
struct Progress {
    /// Socket of the connection that runs the exchange, if any.
    socket: Option<ServerSocket>,
    started: bool,
    /// Reason for which the exchange was cancelled, whether it had started or not.
    cancelled: Option<Denial>,
    /// Reason for which the exchange must not start. An exchange that has already started continues.
    start_forbidden: Option<Denial>,
    times: AttemptTimes,
    /// Counter that is incremented once when the exchange has been completely written.
    sent_counter: Option<IntCounter>,
}

/// Times at which an attempt reached each step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptTimes {
    /// Time at which opening a connection was first permitted; `None` once the first byte is permitted.
    pub connecting_since: Option<Instant>,
    /// Time at which the first byte was last permitted.
    pub permitted_at: Option<Instant>,
    /// Time at which the endpoint went out of service, if that was before the first byte was permitted.
    pub endpoint_out_of_service_since: Option<Instant>,
    /// Time at which the last byte was written.
    pub sent_at: Option<Instant>,
    /// Reason of the most recent denial; `None` if a permit was granted since.
    pub denied: Option<Denial>,
}

#[derive(Default)]
struct Shared {
    /// ID of the attempt, for logging; `None` for a probe.
    attempt: Option<AttemptId>,
    endpoint: EndpointState,
    /// Time after which the exchange must not start.
    latest_start: Option<Instant>,
    progress: Mutex<Progress>,
}

/// Permits the steps of an exchange, and can cancel the exchange from another thread. An exchange that has
/// not started is not sent. If it has started, its connection is shut down. Clones guard the same exchange.
///
/// The default guard has no endpoint and always permits a start.
#[derive(Clone, Default)]
pub struct AttemptGuard(Arc<Shared>);

/// Permit to write one request to a server. Only [`AttemptGuard::permit_write`] issues such a permit, and the
/// last write of the request consumes it.
#[must_use]
pub struct WritePermit(AttemptGuard);

/// Permit to open a connection and log in, or to check that an idle connection still works.
#[must_use]
pub struct ConnectionPermit(());

impl WritePermit {
    /// Records that the last byte of the request has been written.
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
    /// Creates a guard for an exchange that may start while its endpoint accepts exchanges.
    pub fn new(endpoint: EndpointState) -> AttemptGuard {
        AttemptGuard(Arc::new(Shared { endpoint, ..Shared::default() }))
    }

    /// Creates a guard for an attempt whose first byte must not be written after `latest_start`.
    /// `sent_counter` is incremented once when the last byte has been written.
    pub fn for_attempt(
        endpoint: EndpointState,
        latest_start: Instant,
        sent_counter: Option<IntCounter>,
    ) -> AttemptGuard {
        let progress = Mutex::new(Progress { sent_counter, ..Progress::default() });
        AttemptGuard(Arc::new(Shared { attempt: None, endpoint, latest_start: Some(latest_start), progress }))
    }

    /// Sets the ID of the attempt for logging. This has no effect if the guard has already been cloned.
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

    /// Checks whether the exchange may start now. A denial is recorded in [`AttemptTimes::denied`].
    ///
    /// # Errors
    /// Returns the reason for which the exchange may not start.
    pub fn check_start(&self) -> Verdict {
        let mut progress = self.progress();
        let verdict = self.may_start(&progress, Instant::now());
        progress.times.denied = verdict.err();
        verdict
    }

    /// Issues a permit to open or check a connection, if the exchange may start now.
    ///
    /// # Errors
    /// Returns the reason for which the exchange may not start.
    pub fn permit_connection(&self) -> Verdict<ConnectionPermit> {
        self.check_start()?;
        let mut progress = self.progress();
        progress.times.connecting_since.get_or_insert_with(Instant::now);
        Ok(ConnectionPermit(()))
    }

    /// Issues a permit to write the exchange's first byte. Must be called immediately before each time that
    /// the first byte is written.
    ///
    /// # Errors
    /// Returns the reason for which the first byte must not be written.
    pub fn permit_write(&self) -> Verdict<WritePermit> {
        let mut progress = self.progress();
        let now = Instant::now();
        let verdict = self.may_start(&progress, now);
        progress.times.denied = verdict.err();
        verdict?;
        progress.started = true;
        progress.times.connecting_since = None;
        progress.times.permitted_at = Some(now);
        progress.times.endpoint_out_of_service_since = self.0.endpoint.out_of_service_since();
        drop(progress);
        if let Some(AttemptId { request, number }) = self.0.attempt {
            tracing::debug!(request = request.0, attempt = number, "attempt permitted");
        }
        Ok(WritePermit(self.clone()))
    }

    /// Returns the times at which the exchange reached each step.
    pub fn times(&self) -> AttemptTimes {
        self.progress().times
    }

    /// Sets the socket of the connection that runs the exchange.
    pub fn attach_socket(&self, socket: ServerSocket) {
        self.progress().socket = Some(socket);
    }

    /// Detaches the exchange from its connection, which may run another exchange and must no longer be shut
    /// down. If the exchange failed before its last byte, it counts as not started, so it must be permitted
    /// again on the next connection.
    pub fn detach_socket(&self) {
        let mut progress = self.progress();
        progress.socket = None;
        progress.started = false;
    }

    /// Cancels the exchange whether it has started or not. Returns whether the server may have received it.
    pub fn cancel(&self, reason: Denial) -> bool {
        let mut progress = self.progress();
        progress.cancelled.get_or_insert(reason);
        if let Some(socket) = progress.socket.take().filter(|_| progress.started) {
            socket.shut_down();
        }
        // An exchange that is already detached may have been sent, although the router actor does not know
        // its result yet.
        progress.started || progress.times.sent_at.is_some()
    }

    /// Prevents the exchange from starting or restarting. If it has started, it continues to its end.
    pub fn cancel_if_unstarted(&self, reason: Denial) {
        self.progress().start_forbidden.get_or_insert(reason);
    }
}
