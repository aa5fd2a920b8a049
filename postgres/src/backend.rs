//! Connections to database instances. A connection stays open between requests and carries one request at a
//! time.
use crate::buffer::{Frame, MessageBuffer, ProtocolError, ReadError};
use crate::decode::error_fields;
use crate::encode::{io_slices, push_message};
use crate::request::{Request, Response};
use crate::response::{MAX_OVERHEAD_BYTES, ResponseEnd, ResponseKind, ResponseParser};

use routing::{
    AttemptGuard, BackendProtocol, Clock, Connection, ConnectionPermit, Exchange, ExchangeResult, Handshake,
    NotSent, Outcome, ServerSocket, WallClock,
};
use settings::Limits;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// `StartupMessage` of protocol 3.0 for the platform's user and database.
const STARTUP_MESSAGE: &[u8] = b"\0\0\0\x26\0\x03\0\0user\0worker\0database\0catalog\0\0";
/// A Query message without text, which has no effect; the instance responds immediately with
/// `EmptyQueryResponse`.
const EMPTY_QUERY: &[u8] = b"Q\0\0\0\x05\0";
/// Text of the Query message of a probe.
const PROBE_QUERY: &[u8] = b"SHOW stats\0";

/// The platform's wire protocol, client side, for connections to database instances.
pub struct Postgres {
    limits: Arc<Limits>,
    wall_clock: WallClock,
}

impl Postgres {
    /// Creates the protocol with these limits. Times that instances report are converted to this clock.
    pub fn new(limits: Arc<Limits>, clock: Clock) -> Self {
        Postgres { limits, wall_clock: WallClock::new(clock) }
    }
}

/// An open connection to a database instance.
pub struct PostgresConnection {
    socket: ServerSocket,
    buffer: MessageBuffer,
    limits: Arc<Limits>,
    wall_clock: WallClock,
    addr: SocketAddr,
}

impl BackendProtocol for Postgres {
    type Payload = Request;
    type Response = Response;
    type Connection = PostgresConnection;

    fn connect(&self, addr: SocketAddr, permit: ConnectionPermit) -> Result<PostgresConnection, Outcome> {
        let failed = |_: io::Error| Outcome::ConnectFailed;
        // The same deadline covers connecting and the startup response, so an instance that is slow to accept
        // has less time for its startup response.
        let deadline = Instant::now() + self.limits.backend_connect_timeout;
        let handshake = Handshake::connect(permit, addr, &self.limits)?;
        handshake.write(&mut io_slices(&[STARTUP_MESSAGE])).map_err(failed)?;
        read_startup_response(&handshake, deadline)?;
        let buffer = MessageBuffer::new(self.limits.max_value_bytes + MAX_OVERHEAD_BYTES);
        let (limits, wall_clock) = (self.limits.clone(), self.wall_clock.clone());
        let socket = handshake.finish().map_err(failed)?;
        Ok(PostgresConnection { socket, buffer, limits, wall_clock, addr })
    }
}

/// Reads an instance's startup response, up to and including `ReadyForQuery`.
fn read_startup_response(handshake: &Handshake, deadline: Instant) -> Result<(), Outcome> {
    let mut buffer = MessageBuffer::new(MAX_OVERHEAD_BYTES);
    let mut remaining_bytes = MAX_OVERHEAD_BYTES;
    loop {
        let reader = handshake.reader(deadline).map_err(|_| Outcome::ConnectFailed)?;
        let frame = buffer.read_message(reader).map_err(|_| Outcome::ConnectFailed)?;
        let frame = frame.ok_or(Outcome::ConnectFailed)?;
        remaining_bytes = remaining_bytes.checked_sub(frame.range.len()).ok_or(Outcome::ConnectFailed)?;
        let body = buffer.get(frame.body());
        match frame.tag {
            // Bytes after `ReadyForQuery` would be taken for the response to the first request, so there must
            // be none.
            b'Z' if body == b"I" && buffer.is_empty() => return Ok(()),
            b'E' if error_fields(body).is_some_and(|e| matches!(e.code, "53300" | "57P03")) => {
                return Err(Outcome::Rejected);
            }
            b'R' | b'S' | b'K' | b'N' => {}
            _ => return Err(Outcome::ConnectFailed),
        }
    }
}

impl Connection<Postgres> for PostgresConnection {
    fn socket(&self) -> ServerSocket {
        self.socket.clone()
    }

    fn is_usable(&mut self, idle: Duration, permit: ConnectionPermit) -> bool {
        let nothing_to_read = self.buffer.is_empty() && self.socket.is_idle_and_open();
        nothing_to_read
            && (idle < self.limits.max_unchecked_idle_time || self.responds_to_empty_query(permit))
    }

    /// A response counts as reusable only if it ends with a `ReadyForQuery` that reports no open transaction.
    /// The platform's protocol has no other session state: the router answers `SET`, `RESET` and `DISCARD`.
    fn release(&mut self, _permit: ConnectionPermit) -> bool {
        true
    }

    fn execute(
        &mut self,
        exchange: Exchange<'_, Postgres>,
        guard: &AttemptGuard,
    ) -> Result<ExchangeResult<Response>, NotSent> {
        // An error that the instance sends while it closes the connection would be taken for the response of
        // this exchange.
        if !self.socket.is_idle_and_open() {
            return Err(NotSent::ConnectionBroken);
        }
        let permit = guard.permit_write().map_err(|_| NotSent::Cancelled)?;
        // The clock is read after the permit was obtained, so that the waiting time in the message is the
        // time left when the message is sent.
        let now = Instant::now();
        let (kind, deadlines, written) = match exchange {
            Exchange::Attempt(Request { statement, memory }, deadline) => {
                self.buffer.begin_response(memory, deadline);
                let remaining = deadline.saturating_duration_since(now);
                let digits = remaining.as_millis().max(1).to_string();
                let (header, [before, after]) = statement.with_wait(&digits);
                let parts = &mut io_slices(&[&header, before, digits.as_bytes(), after]);
                let last_read = now + remaining + self.limits.abandoned_response_timeout;
                let deadlines = Deadlines { response: deadline, last_read };
                (ResponseKind::Statement, deadlines, self.socket.write_last(permit, parts))
            }
            Exchange::Probe => {
                let mut probe = Vec::new();
                push_message(&mut probe, b'Q', &[PROBE_QUERY]);
                let deadline = now + self.limits.health_check_timeout;
                let written = self.socket.write_last(permit, &mut io_slices(&[&probe]));
                let deadlines = Deadlines { response: deadline, last_read: deadline };
                (ResponseKind::Probe, deadlines, written)
            }
        };
        if written.is_err() {
            return Err(NotSent::ConnectionBroken);
        }
        let result = self.read_response(kind, &deadlines);
        Ok(self.account_for_response(result))
    }
}

/// Deadlines for the response to an exchange.
struct Deadlines {
    /// Deadline after which the response is of no use to the client.
    response: Instant,
    /// Deadline after which reading stops.
    last_read: Instant,
}

impl PostgresConnection {
    /// Sends an empty query and returns whether the instance responds to it. On a connection that was lost
    /// without notice, this check fails with a reset or a timeout, before a request is lost on it.
    fn responds_to_empty_query(&mut self, permit: ConnectionPermit) -> bool {
        if self.socket.write_check(permit, &mut io_slices(&[EMPTY_QUERY])).is_err() {
            return false;
        }
        let deadline = Instant::now() + self.limits.backend_check_timeout;
        let mut responded = false;
        loop {
            let Ok(Some(frame)) = self.buffer.read_message(self.socket.reader(deadline)) else {
                return false;
            };
            match frame.tag {
                b'I' => responded = true,
                b'S' | b'N' => {}
                b'Z' => return responded && self.buffer.get(frame.body()) == b"I" && self.buffer.is_empty(),
                _ => return false,
            }
        }
    }

    fn read_response(&mut self, kind: ResponseKind, deadlines: &Deadlines) -> ExchangeResult<Vec<u8>> {
        let mut parser = ResponseParser::new(kind, self.limits.max_value_bytes);
        let end = self.read_messages(&mut parser, deadlines);
        let result = parser.finish(end, self.buffer.read_ahead(), self.wall_clock.now());
        self.convert_to_router_clock(result)
    }

    /// Frees the buffer, and passes its memory on to the response as far as the response needs it.
    fn account_for_response(&mut self, result: ExchangeResult<Vec<u8>>) -> ExchangeResult<Response> {
        let mut memory = self.buffer.end_response();
        result.map_response(|messages| {
            if let Some(memory) = &mut memory {
                memory.shrink_to(messages.capacity());
            }
            Response { messages, memory }
        })
    }

    /// Passes messages to the parser until the response ends.
    fn read_messages(&mut self, parser: &mut ResponseParser, deadlines: &Deadlines) -> ResponseEnd {
        let mut deadline = deadlines.last_read;
        let mut was_complete = false;
        loop {
            let frame = match self.read_frame(deadline) {
                Ok(frame) => frame,
                Err(end) => return end,
            };
            let message = self.buffer.get(frame.range);
            if let Some(end) = parser.push_message(message, self.wall_clock.now()) {
                return end;
            }
            if !was_complete && parser.is_complete() {
                // The part of the response that the client needs is complete. Waiting for `ReadyForQuery`
                // must not delay it past its deadline, at which the routing core stops waiting, so at most
                // half of the remaining time is used.
                was_complete = true;
                let now = Instant::now();
                let remaining = deadlines.response.saturating_duration_since(now) / 2;
                deadline = deadline.min(now + remaining.min(self.limits.response_end_timeout));
            }
        }
    }

    fn read_frame(&mut self, deadline: Instant) -> Result<Frame, ResponseEnd> {
        match self.buffer.read_message(self.socket.reader(deadline)) {
            Ok(Some(frame)) => Ok(frame),
            Ok(None) => Err(ResponseEnd::Closed),
            // The response waited for memory until its deadline.
            Err(ReadError::Protocol(ProtocolError::OutOfMemory)) => Err(ResponseEnd::TimedOut),
            Err(ReadError::Protocol(_)) => Err(ResponseEnd::Malformed),
            Err(ReadError::Io(e)) => match e.kind() {
                io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Err(ResponseEnd::TimedOut),
                _ => Err(ResponseEnd::Closed),
            },
        }
    }

    /// Converts the times that the instance reported to the router's clock.
    fn convert_to_router_clock(&self, mut result: ExchangeResult<Vec<u8>>) -> ExchangeResult<Vec<u8>> {
        for report in [&mut result.response_report, &mut result.load_report] {
            let is_primary = report.primary == Some(true);
            report.position =
                report.position.and_then(|at| self.wall_clock.position(self.addr, at, is_primary));
        }
        result.commit = result.commit.map(|at| self.wall_clock.commit(at));
        result
    }
}
