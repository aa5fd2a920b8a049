//! Reading commands with a deadline, and looking at the socket without reading.
use super::{Connection, MIN_READ_WAIT};
use routing::socket::{DeadlineReader, peek};
use std::io::{self, Read};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// What a client's socket holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketState {
    /// Nothing to read.
    Idle,
    /// Bytes wait to be read.
    Readable,
    /// The client has closed the connection.
    Disconnected,
}

impl Connection {
    /// What the socket holds now. [`SocketState::Idle`] once reading has stopped: what arrives then is not for this
    /// process.
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

    /// Reads the startup exchange, which has to be complete within [`settings::Limits::client_startup_timeout`] of connecting.
    pub fn startup_reader(&self) -> CommandReader<'_> {
        CommandReader {
            connection: self,
            deadline: self.opened_at + self.limits.client_startup_timeout,
            started: true,
            command_timeout: Duration::ZERO,
        }
    }

    /// Reads one command. It may take the idle timeout to start; once started it has to be complete within
    /// [`settings::Limits::client_message_timeout`]. `started` says whether part of it has been read already.
    pub fn command_reader(&self, started: bool) -> CommandReader<'_> {
        let now = Instant::now();
        let command_timeout = self.limits.client_message_timeout;
        let deadline = match (started, self.has_read_command.load(Ordering::Relaxed)) {
            (true, _) => now + command_timeout,
            (false, false) => self.opened_at + self.limits.client_first_request_timeout,
            // Idle time counts from the last response, which may be written while this waits.
            (false, true) if self.commands.count() == 0 => self.idle_since() + self.idle_timeout(),
            (false, true) => now + self.idle_timeout(),
        };
        self.command_started.store(started, Ordering::SeqCst);
        // The deadline may have passed before the socket was ever looked at.
        let deadline = deadline.max(now + MIN_READ_WAIT);
        CommandReader { connection: self, deadline, started, command_timeout }
    }
}

/// Reads from a connection up to a deadline: a client that falls silent, or sends a byte now and then, must not hold
/// its connection forever. Ends as at end of stream once the connection is closed.
pub struct CommandReader<'a> {
    connection: &'a Connection,
    deadline: Instant,
    /// Part of the command has been read.
    started: bool,
    /// Time for the rest of the command from its first bytes on.
    command_timeout: Duration,
}

impl Read for CommandReader<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let connection = self.connection;
        // The mark is set before the look: whoever closes the connection does it the other way round.
        connection.reader_waiting.store(true, Ordering::SeqCst);
        let result = if connection.is_closed_to_reads() {
            Ok(0)
        } else {
            DeadlineReader::new(&connection.socket, self.deadline).read(buffer)
        };
        // The connection may have been closed meanwhile. What arrived then is not for this process, nor what came
        // before it of the same command, and no error is reported about the missing rest.
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

/// Whether a failed peek at a socket is inconclusive about the client: nothing has arrived, or the system was short of
/// memory. A broken connection may show as a timeout, which is conclusive here: a peek does not wait.
fn is_inconclusive(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::OutOfMemory)
        || error.raw_os_error() == Some(libc::ENOBUFS)
}

/// Whether a read failed because its deadline passed.
pub fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}
