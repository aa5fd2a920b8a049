//! A client connection: the commands in flight on it, and the calls through which its protocol handler
//! reports progress.
mod closing;
mod idle;
mod reader;

pub use reader::{CommandReader, SocketState, is_timeout};

use crate::in_flight_requests::InFlightRequests;
use crate::shared_state::SharedState;
use routing::permit::CommandGate;
use routing::reasons::CloseReason;
use routing::socket::peek;
use settings::Limits;
use socket2::SockRef;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Minimum time that a read waits for a client, even when its deadline has already passed: a whole command
/// may be in the socket's receive buffer by then, and it is still read.
const MIN_READ_WAIT: Duration = Duration::from_millis(1);

/// Value of `Connection::write_shutdown_ms` while the sending side is open.
const WRITE_OPEN: u64 = u64::MAX;

/// A client connection.
///
/// The connection handler calls [`Connection::begin_command`] for each command it has read,
/// [`Connection::prepare_response`] before it writes a response, and [`Connection::finish_command`] after the
/// response.
pub struct Connection {
    /// The socket of the client's connection.
    pub socket: TcpStream,
    /// Identifies the connection; never reused within a server.
    pub id: u64,
    /// Requests without a response, and whether the client has disconnected.
    pub in_flight_requests: InFlightRequests,
    opened_at: Instant,
    /// When `accept` returned the connection. Since then the connection may have waited for capacity below
    /// the connection limit and for a thread.
    accepted_at: Instant,
    /// How long the first command may have been unread in the socket before the connection's thread started,
    /// in microseconds.
    first_command_age_us: AtomicU64,
    limits: Arc<Limits>,
    /// Commands that were read and have no response yet, and whether more are accepted.
    commands: CommandGate,
    /// Whether a command has been read on this connection.
    has_read_command: AtomicBool,
    /// Whether a command has led to a request to the router; some commands get a response without one.
    has_made_request: AtomicBool,
    /// Whether the last command could not be parsed.
    last_command_malformed: AtomicBool,
    /// When the last command in flight finished, in milliseconds since the connection was opened.
    idle_since_ms: AtomicU64,
    /// Whether part of a command has been read, but not all of it.
    command_started: AtomicBool,
    /// Whether the reader waits for the socket; the reader's buffer then holds less than a whole command.
    reader_waiting: AtomicBool,
    /// When the sending side was shut down, in milliseconds since the connection was opened.
    write_shutdown_ms: AtomicU64,
    /// Whether both directions of the socket have been shut down.
    closed: AtomicBool,
    /// The first [`CloseReason`] that was set; 0 until then.
    close_reason: AtomicU8,
    shared: Arc<SharedState>,
}

impl Connection {
    /// Creates an open connection with no commands in flight, whose timeouts count from now.
    pub(crate) fn new(
        socket: TcpStream,
        id: u64,
        accepted_at: Instant,
        limits: Arc<Limits>,
        shared: Arc<SharedState>,
    ) -> Connection {
        Connection {
            socket,
            id,
            in_flight_requests: InFlightRequests::default(),
            opened_at: Instant::now(),
            accepted_at,
            first_command_age_us: AtomicU64::new(0),
            limits,
            commands: CommandGate::default(),
            close_reason: AtomicU8::new(0),
            has_read_command: AtomicBool::new(false),
            has_made_request: AtomicBool::new(false),
            last_command_malformed: AtomicBool::new(false),
            idle_since_ms: AtomicU64::new(0),
            command_started: AtomicBool::new(false),
            reader_waiting: AtomicBool::new(false),
            write_shutdown_ms: AtomicU64::new(WRITE_OPEN),
            closed: AtomicBool::new(false),
            shared,
        }
    }

    /// Records that the connection's thread has started. Bytes that are in the socket by now may have been
    /// sent as early as the moment when the connection was accepted.
    pub(crate) fn record_thread_started(&self) {
        let age = self.accepted_at.elapsed().as_micros() as u64;
        if age > 0 && peek(&self.socket).is_ok_and(|bytes| bytes > 0) {
            self.first_command_age_us.store(age, Ordering::Relaxed);
        }
    }

    /// Returns how long the command that was read last may have waited before the connection's thread
    /// started. Only the first command of a connection can have waited; later calls return zero.
    pub fn take_command_age(&self) -> Duration {
        Duration::from_micros(self.first_command_age_us.swap(0, Ordering::Relaxed))
    }

    /// Counts a command that has been read as in flight; the connection stays open until the matching
    /// [`Connection::finish_command`]. `next_started` is whether part of the next command has been read too.
    ///
    /// Returns `false` if the connection no longer accepts commands. The caller must not execute the command
    /// then, because the client retries it on another connection.
    #[must_use]
    pub fn begin_command(&self, next_started: bool) -> bool {
        self.has_read_command.store(true, Ordering::SeqCst);
        self.command_started.store(next_started, Ordering::SeqCst);
        self.commands.permit_command().is_ok()
    }

    /// Must be called right before a response is written. When the close policy is to close, the response
    /// that leaves no command in flight is the last one on the connection. The kernel holds back the last
    /// bytes of that response (`TCP_CORK`) until [`Connection::finish_command`] shuts down the sending side,
    /// so they are sent together with the end of stream. A client that has the whole response thus never
    /// takes the connection for a reusable one.
    pub fn prepare_response(&self) {
        if self.may_close_when_idle() && self.commands.permit_last_response().is_ok() {
            self.set_close_reason(CloseReason::ShuttingDown);
            // If the option cannot be set, the end of stream is sent right after the response.
            _ = SockRef::from(&self.socket).set_tcp_cork(true);
        }
    }

    /// Records that a command in flight has had its response written, or needs none, and closes the
    /// connection if it is due to close.
    pub fn finish_command(&self) {
        self.idle_since_ms.store(self.opened_at.elapsed().as_millis() as u64, Ordering::Relaxed);
        if self.commands.finish() {
            return self.shut_down_write();
        }
        if self.may_close_when_idle() {
            self.shut_down_write_if_idle();
        }
    }

    /// Returns the number of commands that were read and have no response yet.
    pub(crate) fn commands_in_flight(&self) -> usize {
        self.commands.count()
    }

    /// Sets why the connection closes, for the log and the metrics; later calls do not replace the first
    /// reason.
    pub fn set_close_reason(&self, reason: CloseReason) {
        _ = self.close_reason.compare_exchange(0, reason as u8, Ordering::Relaxed, Ordering::Relaxed);
    }

    /// Returns why the connection closes.
    pub(crate) fn close_reason(&self) -> CloseReason {
        CloseReason::from_number(self.close_reason.load(Ordering::Relaxed))
    }

    /// Returns whether operators are draining the router; clients' health checks fail during a drain.
    pub fn is_draining(&self) -> bool {
        self.shared.is_draining()
    }

    /// Records that the client has made a request, so that more requests are expected.
    pub fn record_request(&self) {
        if !self.has_made_request.swap(true, Ordering::Relaxed) {
            self.shared.add_connection_with_requests();
        }
    }

    /// Returns whether [`Connection::record_request`] was called.
    pub(crate) fn has_made_request(&self) -> bool {
        self.has_made_request.load(Ordering::Relaxed)
    }

    /// Sets whether the last command could not be parsed; such a connection may be evicted at once when idle.
    pub fn set_last_command_malformed(&self, malformed: bool) {
        self.last_command_malformed.store(malformed, Ordering::Relaxed);
    }
}
