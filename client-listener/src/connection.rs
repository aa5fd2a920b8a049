//! One client's connection: the commands in flight on it, and what its handler reports.
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

/// Shortest time that a read waits for a client. Even after its deadline a whole command may already lie in the
/// socket, and is then read.
const MIN_READ_WAIT: Duration = Duration::from_millis(1);

/// Value of `Connection::write_shutdown_ms` while the sending side is open.
const WRITE_OPEN: u64 = u64::MAX;

/// A client's connection.
///
/// Its handler calls [`Connection::begin_command`] for each command it has read, [`Connection::prepare_response`]
/// before it writes a response, and [`Connection::finish_command`] after it.
pub struct Connection {
    /// The client's socket.
    pub socket: TcpStream,
    /// Identifies the connection; never reused within a server.
    pub id: u64,
    /// Requests without a response, and whether the client has disconnected.
    pub in_flight_requests: InFlightRequests,
    opened_at: Instant,
    /// When the system handed it over; it may have waited for room and for a thread since.
    accepted_at: Instant,
    /// For how long a first command may have lain unread before its thread ran, in microseconds.
    first_command_age_us: AtomicU64,
    limits: Arc<Limits>,
    /// Commands that were read and have no response yet, and whether more are accepted.
    commands: CommandGate,
    /// A command has been read.
    has_read_command: AtomicBool,
    /// A request has been made, not only commands that are answered without one.
    has_made_request: AtomicBool,
    /// The last command could not be parsed.
    last_command_malformed: AtomicBool,
    /// When the last command in flight finished, in milliseconds since the connection was opened.
    idle_since_ms: AtomicU64,
    /// Part of a command has been read.
    command_started: AtomicBool,
    /// The reader waits for the socket, so it holds less than a whole command.
    reader_waiting: AtomicBool,
    /// When the sending side was shut down, in milliseconds since the connection was opened.
    write_shutdown_ms: AtomicU64,
    /// Both sides have been shut down.
    closed: AtomicBool,
    /// The first [`CloseReason`] that was given; 0 before.
    close_reason: AtomicU8,
    shared: Arc<SharedState>,
}

impl Connection {
    /// A connection that was opened now.
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

    /// Its thread runs. What lies in the socket by now may have been sent as soon as the connection was accepted.
    pub(crate) fn note_thread_started(&self) {
        let age = self.accepted_at.elapsed().as_micros() as u64;
        if age > 0 && peek(&self.socket).is_ok_and(|bytes| bytes > 0) {
            self.first_command_age_us.store(age, Ordering::Relaxed);
        }
    }

    /// For how long the command that was read last may have waited unread because its connection was not served yet.
    /// Only the first command of a connection may have; it is told once.
    pub fn take_command_age(&self) -> Duration {
        Duration::from_micros(self.first_command_age_us.swap(0, Ordering::Relaxed))
    }

    /// Counts a command that has been read as in flight; the connection stays open until
    /// [`Connection::finish_command`]. `next_started` says whether part of the next command was read with it.
    ///
    /// Returns `false` if the connection is closed to commands. The command must not be carried out then: its client
    /// sends it elsewhere.
    #[must_use]
    pub fn begin_command(&self, next_started: bool) -> bool {
        self.has_read_command.store(true, Ordering::SeqCst);
        self.command_started.store(next_started, Ordering::SeqCst);
        self.commands.permit_command().is_ok()
    }

    /// Has to be called right before a response is written. While connections close, the response that leaves nothing
    /// in flight is the connection's last. Its last bytes are held back until [`Connection::finish_command`] shuts the
    /// sending side down and leave together with that end of stream, so that no client that has the whole response
    /// takes the connection for a usable one.
    pub fn prepare_response(&self) {
        if self.may_close_when_idle() && self.commands.permit_last_response().is_ok() {
            self.set_close_reason(CloseReason::ShuttingDown);
            // Without the option, the end of stream follows right behind the response.
            _ = SockRef::from(&self.socket).set_tcp_cork(true);
        }
    }

    /// A command has its response, or needs none. Closes the connection if that is due.
    pub fn finish_command(&self) {
        self.idle_since_ms.store(self.opened_at.elapsed().as_millis() as u64, Ordering::Relaxed);
        if self.commands.finish() {
            return self.shut_down_write();
        }
        if self.may_close_when_idle() {
            self.shut_down_write_if_idle();
        }
    }

    /// Names why the connection closes, for the log and the metrics; the first reason counts.
    pub fn set_close_reason(&self, reason: CloseReason) {
        _ = self.close_reason.compare_exchange(0, reason as u8, Ordering::Relaxed, Ordering::Relaxed);
    }

    /// Why it closes.
    pub(crate) fn close_reason(&self) -> CloseReason {
        CloseReason::from_number(self.close_reason.load(Ordering::Relaxed))
    }

    /// Whether operators drain the router: health checks of clients fail then.
    pub fn is_draining(&self) -> bool {
        self.shared.is_draining()
    }

    /// A request has been made: this client is expected to make more.
    pub fn record_request(&self) {
        if !self.has_made_request.swap(true, Ordering::Relaxed) {
            self.shared.add_connection_with_requests();
        }
    }

    /// Whether [`Connection::record_request`] was called.
    pub(crate) fn has_made_request(&self) -> bool {
        self.has_made_request.load(Ordering::Relaxed)
    }

    /// Sets whether the last command could not be parsed; such a connection may be evicted at once when idle.
    pub fn set_last_command_malformed(&self, malformed: bool) {
        self.last_command_malformed.store(malformed, Ordering::Relaxed);
    }
}
