//! A connection at the admin address: reads its command line, writes the response, and discards all further
//! input.
use crate::command::{Command, ParseError};
use crate::limits::AdminLimits;
use crate::line::{LineBuffer, LineStatus};
use crate::response::Response;
use mio::event::Event;
use mio::net::TcpStream;
use std::io::{self, ErrorKind, Read, Write};
use std::net::Shutdown;
use std::time::{Duration, Instant};

/// How long a client may take to close the connection after its response. This is enough to send the rest of
/// a line of 60 MB, which is rejected long before its end.
const LINGER_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of bytes discarded after the line; beyond it the connection is closed.
const MAX_DISCARDED_BYTES: usize = 64 << 20;

/// The stage of the exchange on a connection.
enum ConnectionState {
    /// The command line is not complete yet.
    ReadingLine(LineBuffer),
    /// The response is being written.
    WritingResponse { bytes: Vec<u8>, sent: usize },
    /// The response has been written; the connection stays open until the client closes it or
    /// [`LINGER_TIMEOUT`] expires.
    Lingering,
}

/// Whether a connection stays open.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Progress {
    /// The connection waits for its client.
    Open,
    /// The connection has ended and must be dropped.
    Closed,
}

/// Order in which connections are evicted when there are too many, lowest first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum EvictionOrder {
    /// The client has received its response and sends nothing more, so it loses nothing.
    Finished,
    /// The client has not sent a complete command.
    AwaitingCommand,
    /// The client has received its response but still sends data.
    Discarding,
    /// The client is slow to read its response.
    WritingResponse,
    /// The connection has just been accepted and is not finished.
    JustAccepted,
}

/// A connection at the admin address.
pub(crate) struct AdminConnection {
    socket: TcpStream,
    state: ConnectionState,
    /// The connection is closed at this time, unless it has reached its next state.
    deadline: Instant,
    /// The socket may have data to read: set by an event, cleared by a read that would block.
    readable: bool,
    /// The socket may accept data: set by an event, cleared by a write that would block.
    writable: bool,
    /// The client has closed its side.
    peer_closed: bool,
    discarded_bytes: usize,
}

impl AdminConnection {
    /// Creates the state of a connection that was just accepted.
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

    /// When the connection is closed, unless it reaches its next state.
    pub(crate) fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Updates the readiness of the socket from an event.
    pub(crate) fn update_readiness(&mut self, event: &Event) {
        // A reset is reported as any of these; the next read or write returns its error.
        self.readable |= event.is_readable() || event.is_error();
        self.writable |= event.is_writable() || event.is_error();
    }

    /// Makes the next [`advance`](Self::advance) read the socket, even if no event reported it as readable.
    pub(crate) fn assume_readable(&mut self) {
        self.readable = true;
    }

    /// Whether the connection can make progress without an event.
    pub(crate) fn has_work(&self) -> bool {
        self.readable && !self.peer_closed
    }

    /// The position of this connection in the order of eviction.
    pub(crate) fn eviction_order(&self) -> EvictionOrder {
        match self.state {
            ConnectionState::Lingering if !self.readable => EvictionOrder::Finished,
            ConnectionState::ReadingLine(_) => EvictionOrder::AwaitingCommand,
            ConnectionState::Lingering => EvictionOrder::Discarding,
            ConnectionState::WritingResponse { .. } => EvictionOrder::WritingResponse,
        }
    }

    /// Advances this connection as far as is possible without blocking, but discards at most one buffer of
    /// input, so that no admin connection delays the server's other connections.
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
            // An error ends the connection: it can no longer be reported to the client.
            .unwrap_or(Progress::Closed)
    }

    /// Reads until the line is complete or too long, or no more data is available.
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
            let Some(count) = retry_if_interrupted(|| self.socket.read(buffer))? else {
                self.readable = false;
                break;
            };
            self.peer_closed = count == 0;
            let status = line.push(&buffer[..count], limits.max_line_bytes);
            if status == LineStatus::Incomplete && !self.peer_closed {
                continue;
            }
            if status != LineStatus::TooLong && line.content().is_empty() && self.peer_closed {
                // The client closed the connection without sending a command.
                return Err(ErrorKind::UnexpectedEof.into());
            }
            let bytes = response_to(line, status, limits.max_line_bytes, &handle).into_bytes();
            self.state = ConnectionState::WritingResponse { bytes, sent: 0 };
            self.deadline = now + limits.io_timeout;
        }
        Ok(())
    }

    fn write_response(&mut self, now: Instant) -> io::Result<()> {
        while self.writable
            && let ConnectionState::WritingResponse { bytes, sent } = &mut self.state
        {
            match retry_if_interrupted(|| self.socket.write(&bytes[*sent..]))? {
                // A socket never returns this; it would be retried forever.
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

    /// Reads and discards input after the line: closing a socket with unread input would reset the
    /// connection, and the client could lose the response.
    fn discard_input(&mut self, buffer: &mut [u8]) -> io::Result<Progress> {
        if self.has_work() && !matches!(self.state, ConnectionState::ReadingLine(_)) {
            match retry_if_interrupted(|| self.socket.read(buffer))? {
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

/// Returns the response to a line that is complete, too long, or ended by the client's close.
fn response_to(
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

/// Reads or writes, and retries after a signal; returns `None` if the operation would block.
fn retry_if_interrupted(mut operation: impl FnMut() -> io::Result<usize>) -> io::Result<Option<usize>> {
    loop {
        match operation() {
            Ok(count) => return Ok(Some(count)),
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(None),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
}
