//! Connections to instances: one request at a time on a connection that stays open in between.
use crate::buffer::{Frame, MessageBuffer, ReadError};
use crate::decode::error_fields;
use crate::encode::{io_slices, push_message};
use crate::response::{MAX_OVERHEAD_BYTES, ResponseEnd, ResponseKind, ResponseParser};
use crate::statement::Statement;
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
const STARTUP: &[u8] = b"\0\0\0\x26\0\x03\0\0user\0worker\0database\0catalog\0\0";
/// A Query without text. It has no effect and is answered at once with `EmptyQueryResponse`.
const EMPTY_QUERY: &[u8] = b"Q\0\0\0\x05\0";
/// The text of the probe's Query.
const PROBE_QUERY: &[u8] = b"SHOW stats\0";

/// The platform's wire protocol towards instances.
pub struct Postgres {
    limits: Arc<Limits>,
    wall_clock: WallClock,
}

impl Postgres {
    /// The protocol within these limits. Times that instances state are converted to this clock.
    pub fn new(limits: Arc<Limits>, clock: Clock) -> Self {
        Postgres { limits, wall_clock: WallClock::new(clock) }
    }
}

/// A connection to an instance.
pub struct PostgresConnection {
    socket: ServerSocket,
    buffer: MessageBuffer,
    limits: Arc<Limits>,
    wall_clock: WallClock,
    addr: SocketAddr,
}

impl BackendProtocol for Postgres {
    type Payload = Statement;
    /// `RowDescription`, `DataRow` and `CommandComplete`, as the instance wrote them.
    type Response = Vec<u8>;
    type Connection = PostgresConnection;

    fn connect(&self, addr: SocketAddr, permit: ConnectionPermit) -> Result<PostgresConnection, Outcome> {
        let failed = |_: io::Error| Outcome::ConnectFailed;
        // One deadline for both: an instance that accepts late has less time for its greeting.
        let deadline = Instant::now() + self.limits.backend_connect_timeout;
        let handshake = Handshake::connect(permit, addr, &self.limits)?;
        handshake.write(&mut io_slices(&[STARTUP])).map_err(failed)?;
        read_greeting(&handshake, deadline)?;
        let buffer = MessageBuffer::new(self.limits.max_value_bytes + MAX_OVERHEAD_BYTES);
        let (limits, wall_clock) = (self.limits.clone(), self.wall_clock.clone());
        let socket = handshake.finish().map_err(failed)?;
        Ok(PostgresConnection { socket, buffer, limits, wall_clock, addr })
    }
}

/// Reads an instance's greeting up to its `ReadyForQuery`.
fn read_greeting(handshake: &Handshake, deadline: Instant) -> Result<(), Outcome> {
    let mut buffer = MessageBuffer::new(MAX_OVERHEAD_BYTES);
    let mut remaining_bytes = MAX_OVERHEAD_BYTES;
    loop {
        let reader = handshake.reader(deadline).map_err(|_| Outcome::ConnectFailed)?;
        let frame = buffer.read_message(reader).map_err(|_| Outcome::ConnectFailed)?;
        let frame = frame.ok_or(Outcome::ConnectFailed)?;
        remaining_bytes = remaining_bytes.checked_sub(frame.range.len()).ok_or(Outcome::ConnectFailed)?;
        let body = buffer.get(frame.body());
        match frame.tag {
            // What stands behind the greeting already would be taken for the first response.
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
        let silent = self.buffer.is_empty() && self.socket.is_idle_and_open();
        silent && (idle < self.limits.max_unchecked_idle_time || self.answers_empty_query(permit))
    }

    fn execute(
        &mut self,
        exchange: Exchange<'_, Postgres>,
        guard: &AttemptGuard,
    ) -> Result<ExchangeResult<Vec<u8>>, NotSent> {
        // An error that comes as the instance ends the connection would be taken for this exchange's response.
        if !self.socket.is_idle_and_open() {
            return Err(NotSent::ConnectionBroken);
        }
        let permit = guard.permit_write().map_err(|_| NotSent::Cancelled)?;
        // Read behind the permit: the waiting time that is sent is what is left when the bytes go out.
        let now = Instant::now();
        let (kind, deadlines, written) = match exchange {
            Exchange::Attempt(statement, deadline) => {
                let remaining = deadline.saturating_duration_since(now);
                let digits = remaining.as_millis().max(1).to_string();
                let (head, [before, after]) = statement.with_wait(&digits);
                let parts = &mut io_slices(&[&head, before, digits.as_bytes(), after]);
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
        Ok(self.read_response(kind, &deadlines))
    }
}

/// How long a response is waited for.
struct Deadlines {
    /// From then on the response is of no use to its client.
    response: Instant,
    /// From then on nothing is read any more.
    last_read: Instant,
}

impl PostgresConnection {
    /// Sends an empty query and waits for the response: a connection that was lost on the way brings a reset or nothing,
    /// before a request is lost on it.
    fn answers_empty_query(&mut self, permit: ConnectionPermit) -> bool {
        if self.socket.write_check(permit, &mut io_slices(&[EMPTY_QUERY])).is_err() {
            return false;
        }
        let deadline = Instant::now() + self.limits.backend_check_timeout;
        let mut answered = false;
        loop {
            let Ok(Some(frame)) = self.buffer.read_message(self.socket.reader(deadline)) else {
                return false;
            };
            match frame.tag {
                b'I' => answered = true,
                b'S' | b'N' => {}
                b'Z' => return answered && self.buffer.get(frame.body()) == b"I" && self.buffer.is_empty(),
                _ => return false,
            }
        }
    }

    fn read_response(&mut self, kind: ResponseKind, deadlines: &Deadlines) -> ExchangeResult<Vec<u8>> {
        let mut parser = ResponseParser::new(kind, self.limits.max_value_bytes);
        let end = self.read_messages(&mut parser, deadlines);
        let result = parser.finish(end, self.buffer.read_ahead(), self.wall_clock.now());
        self.with_router_times(result)
    }

    /// Feeds the parser until the response ends.
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
                // The client's response is here. Waiting for the rest must not cost the client that: the routing core
                // stops waiting when the response is of no use any more, whatever has come by then.
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
            Err(ReadError::Protocol(_)) => Err(ResponseEnd::Malformed),
            Err(ReadError::Io(e)) => match e.kind() {
                io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Err(ResponseEnd::TimedOut),
                _ => Err(ResponseEnd::Closed),
            },
        }
    }

    /// Converts the times that the instance has stated to the router's own clock.
    fn with_router_times(&self, mut result: ExchangeResult<Vec<u8>>) -> ExchangeResult<Vec<u8>> {
        for report in [&mut result.response_report, &mut result.load_report] {
            let is_primary = report.primary == Some(true);
            report.position =
                report.position.and_then(|at| self.wall_clock.position(self.addr, at, is_primary));
        }
        result.commit = result.commit.map(|at| self.wall_clock.commit(at));
        result
    }
}
