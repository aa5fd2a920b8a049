//! One connection: its line is read, its response is written, and what still arrives is discarded.
use crate::command::{Command, ParseError};
use crate::limits::AdminLimits;
use crate::line::{LineBuffer, LineStatus};
use crate::response::Response;
use mio::event::Event;
use mio::net::TcpStream;
use std::io::{self, ErrorKind, Read, Write};
use std::net::Shutdown;
use std::time::{Duration, Instant};

/// How long a client may take to close after its response. Enough to send the rest of a line of 60 MB, which is rejected
/// long before its end.
const LINGER_TIMEOUT: Duration = Duration::from_secs(5);
/// How much is discarded after the line before the connection is closed regardless, in bytes.
const MAX_DISCARDED_BYTES: usize = 64 << 20;

/// How far the exchange has come.
enum ConnectionState {
    /// The line is not complete.
    ReadingLine(LineBuffer),
    /// The response is being written.
    WritingResponse { bytes: Vec<u8>, sent: usize },
    /// The response has been written; until the client closes, or [`LINGER_TIMEOUT`] is over.
    Lingering,
}

/// Whether a connection goes on.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Progress {
    /// It waits for its client.
    Open,
    /// It is over and must be dropped.
    Closed,
}

/// Which connection is closed first to make room, lowest first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum EvictionOrder {
    /// It has its response and sends nothing more: it loses nothing.
    Finished,
    /// It has not sent a complete command.
    AwaitingCommand,
    /// It has its response and sends what nobody asked for.
    Discarding,
    /// It is slow to read its response.
    WritingResponse,
    /// It was accepted just now and is not finished.
    Newcomer,
}

/// A connection at the operators' address.
pub(crate) struct AdminConnection {
    socket: TcpStream,
    state: ConnectionState,
    /// The connection is closed then, unless it has reached its next state.
    deadline: Instant,
    /// There may be something to read: set by an event, cleared by a read that would block.
    readable: bool,
    /// The same for writing.
    writable: bool,
    /// The client has closed its side.
    peer_closed: bool,
    discarded_bytes: usize,
}

impl AdminConnection {
    /// A connection that was just accepted.
    pub(crate) fn new(socket: TcpStream, deadline: Instant) -> AdminConnection {
        AdminConnection {
            socket,
            state: ConnectionState::ReadingLine(LineBuffer::default()),
            deadline,
            readable: true,
            writable: true,
            peer_closed: false,
            discarded_bytes: 0,
        }
    }

    /// When the connection is closed unless it reaches its next state.
    pub(crate) fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Notes what an event says of the socket.
    pub(crate) fn note_readiness(&mut self, event: &Event) {
        // A reset shows as either: the next read or write reports it.
        self.readable |= event.is_readable() || event.is_error();
        self.writable |= event.is_writable() || event.is_error();
    }

    /// Has the socket read once more, whatever events said of it.
    pub(crate) fn assume_readable(&mut self) {
        self.readable = true;
    }

    /// Whether it can go on at once, without an event.
    pub(crate) fn has_work(&self) -> bool {
        self.readable && !self.peer_closed
    }

    /// How early this connection is closed to make room for others.
    pub(crate) fn eviction_order(&self) -> EvictionOrder {
        match self.state {
            ConnectionState::Lingering if !self.readable => EvictionOrder::Finished,
            ConnectionState::ReadingLine(_) => EvictionOrder::AwaitingCommand,
            ConnectionState::Lingering => EvictionOrder::Discarding,
            ConnectionState::WritingResponse { .. } => EvictionOrder::WritingResponse,
        }
    }

    /// Does all that can be done now without blocking, but discards at most one buffer, so that no connection keeps the
    /// others waiting.
    pub(crate) fn advance(
        &mut self,
        now: Instant,
        limits: &AdminLimits,
        buffer: &mut [u8],
        handle: impl Fn(Command) -> Response,
    ) -> Progress {
        self.read_command(now, limits, buffer, handle)
            .and_then(|()| self.write_response(now))
            .and_then(|()| self.discard_input(buffer))
            // An error ends the connection: there is nobody left to report it to.
            .unwrap_or(Progress::Closed)
    }

    /// Reads until the line is complete or too long, or nothing more has arrived.
    fn read_command(
        &mut self,
        now: Instant,
        limits: &AdminLimits,
        buffer: &mut [u8],
        handle: impl Fn(Command) -> Response,
    ) -> io::Result<()> {
        while self.readable
            && let ConnectionState::ReadingLine(line) = &mut self.state
        {
            let Some(count) = transfer(|| self.socket.read(buffer))? else {
                self.readable = false;
                break;
            };
            self.peer_closed = count == 0;
            let status = line.push(&buffer[..count], limits.max_line_bytes);
            if status == LineStatus::Incomplete && !self.peer_closed {
                continue;
            }
            if status != LineStatus::TooLong && line.content().is_empty() && self.peer_closed {
                // The client closed without sending anything.
                return Err(ErrorKind::UnexpectedEof.into());
            }
            let bytes = respond(line, status, limits.max_line_bytes, &handle).into_bytes();
            self.state = ConnectionState::WritingResponse { bytes, sent: 0 };
            self.deadline = now + limits.io_timeout;
        }
        Ok(())
    }

    fn write_response(&mut self, now: Instant) -> io::Result<()> {
        while self.writable
            && let ConnectionState::WritingResponse { bytes, sent } = &mut self.state
        {
            match transfer(|| self.socket.write(&bytes[*sent..]))? {
                // This never happens on a socket, and would be retried forever.
                Some(0) => return Err(ErrorKind::WriteZero.into()),
                Some(count) => *sent += count,
                None => self.writable = false,
            }
            if *sent == bytes.len() {
                self.socket.shutdown(Shutdown::Write)?;
                self.state = ConnectionState::Lingering;
                self.deadline = now + LINGER_TIMEOUT;
            }
        }
        Ok(())
    }

    /// Reads past the line and drops what it reads: closing with unread input would turn the response into a reset.
    fn discard_input(&mut self, buffer: &mut [u8]) -> io::Result<Progress> {
        if self.has_work() && !matches!(self.state, ConnectionState::ReadingLine(_)) {
            match transfer(|| self.socket.read(buffer))? {
                Some(count) => {
                    self.peer_closed = count == 0;
                    self.discarded_bytes += count;
                }
                None => self.readable = false,
            }
        }
        let finished = self.peer_closed && matches!(self.state, ConnectionState::Lingering);
        if finished || self.discarded_bytes > MAX_DISCARDED_BYTES {
            return Ok(Progress::Closed);
        }
        Ok(Progress::Open)
    }
}

/// The response to a line that is complete, or ended by the client's close, or too long.
fn respond(
    line: &LineBuffer,
    status: LineStatus,
    max_line_bytes: usize,
    handle: impl Fn(Command) -> Response,
) -> Response {
    let content = line.content();
    if status == LineStatus::TooLong || content.len() > max_line_bytes {
        let error = ParseError::LineTooLong { max_bytes: max_line_bytes };
        return Response::Rejected(error.to_string());
    }
    Command::parse(content).map_or_else(|error| Response::Rejected(error.to_string()), handle)
}

/// Reads or writes, again after each signal; `None` if it would block.
fn transfer(mut operation: impl FnMut() -> io::Result<usize>) -> io::Result<Option<usize>> {
    loop {
        match operation() {
            Ok(count) => return Ok(Some(count)),
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(None),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
}
