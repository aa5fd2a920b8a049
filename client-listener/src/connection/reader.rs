//! Reading commands with a deadline, and checking the state of the socket without reading.
use super::{Connection, MIN_READ_WAIT};
use routing::socket::{DeadlineReader, peek};
use std::io::{self, Read};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// State of a client's socket, as seen without reading from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketState {
    /// The connection is open and there is nothing to read.
    Idle,
    /// The socket has bytes to read.
    Readable,
    /// The client has closed the connection.
    Disconnected,
}

impl Connection {
    /// Returns the state of the socket, which is [`SocketState::Idle`] once reading has stopped: bytes that
    /// arrive after that are not for this process.
    pub fn socket_state(&self) -> SocketState {
        if self.in_flight_requests.is_disconnected() {
            return SocketState::Disconnected;
        }
        if self.reading_stopped() {
            return SocketState::Idle;
        }
        match peek(&self.socket) {
            Ok(0) => SocketState::Disconnected,
            Ok(_) => SocketState::Readable,
            Err(e) if is_inconclusive(&e) => SocketState::Idle,
            Err(_) => SocketState::Disconnected,
        }
    }

    /// Returns a reader for the startup exchange, which has to be complete within
    /// [`settings::Limits::client_startup_timeout`] of connecting.
    pub fn startup_reader(&self) -> CommandReader<'_> {
        CommandReader {
            connection: self,
            deadline: self.opened_at + self.limits.client_startup_timeout,
            started: true,
            command_timeout: Duration::ZERO,
        }
    }

    /// Returns a reader for one command. The command has to start within the idle timeout; once started, it
    /// has to be complete within [`settings::Limits::client_message_timeout`]. `started` is whether part of
    /// it has been read already.
    pub fn command_reader(&self, started: bool) -> CommandReader<'_> {
        let now = Instant::now();
        let command_timeout = self.limits.client_message_timeout;
        let deadline = match (started, self.has_read_command.load(Ordering::Relaxed)) {
            (true, _) => now + command_timeout,
            (false, false) => self.opened_at + self.limits.client_first_request_timeout,
            // Idle time counts from the last response, which may be written while the reader waits.
            (false, true) if self.commands.count() == 0 => self.idle_since() + self.idle_timeout(),
            (false, true) => now + self.idle_timeout(),
        };
        self.command_started.store(started, Ordering::SeqCst);
        // The deadline may have passed before the socket was first checked.
        let deadline = deadline.max(now + MIN_READ_WAIT);
        CommandReader { connection: self, deadline, started, command_timeout }
    }
}

/// Reads from a connection until a deadline, so that a client that stops sending, or sends a byte now and
/// then, cannot occupy its connection indefinitely. Reports end of stream once the connection is closed.
pub struct CommandReader<'a> {
    connection: &'a Connection,
    deadline: Instant,
    /// Whether part of the command has been read.
    started: bool,
    /// Time in which the command has to be complete once its first bytes have been read.
    command_timeout: Duration,
}

impl Read for CommandReader<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let connection = self.connection;
        // `reader_waiting` is set before checking for the close; a thread that closes the connection closes
        // it first and then checks `reader_waiting`. So the reader sees the close, or the closing thread sees
        // that the reader waits, or both.
        connection.reader_waiting.store(true, Ordering::SeqCst);
        let result = if connection.is_closed_to_reads() {
            Ok(0)
        } else {
            DeadlineReader::new(&connection.socket, self.deadline).read(buffer)
        };
        // The connection may have been closed during the read. Bytes that arrived after the close are not for
        // this process, nor are earlier bytes of the same command, and the incomplete command is not reported
        // as an error.
        let result = if connection.is_closed_to_reads() { Ok(0) } else { result };
        if let Ok(n) = result {
            connection.command_started.store(n > 0, Ordering::SeqCst);
            if !std::mem::replace(&mut self.started, true) {
                self.deadline = Instant::now() + self.command_timeout;
            }
        }
        connection.reader_waiting.store(false, Ordering::SeqCst);
        result
    }
}

/// Returns whether an error of `peek` says nothing about the client: no bytes have arrived, or the system was
/// short of memory. Since a peek does not wait, a timeout here means a broken connection and is conclusive.
fn is_inconclusive(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::OutOfMemory)
        || error.raw_os_error() == Some(libc::ENOBUFS)
}

/// Returns whether a read failed because its deadline passed.
pub fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}
