//! The link to an instance: one request at a time on a connection that stays open between them.
use crate::answer::{BESIDE, End, Parser};
use crate::message::{Buffer, error, push, slices};
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

/// The platform's wire.
pub struct Postgres {
    limits: Arc<Limits>,
    wall_clock: WallClock,
}

impl Postgres {
    /// A wire within these bounds; times that instances state are put on this clock.
    pub fn new(limits: Arc<Limits>, clock: Clock) -> Self {
        Postgres { limits, wall_clock: WallClock::new(clock) }
    }
}

/// A connection to an instance.
pub struct PostgresLink {
    socket: ServerSocket,
    buffer: Buffer,
    limits: Arc<Limits>,
    wall_clock: WallClock,
    addr: SocketAddr,
}

impl BackendProtocol for Postgres {
    type Payload = Statement;
    /// RowDescription, DataRow and CommandComplete, as the instance wrote them.
    type Response = Vec<u8>;
    type Connection = PostgresLink;

    fn connect(&self, addr: SocketAddr, permit: ConnectionPermit) -> Result<PostgresLink, Outcome> {
        let failed = |_: io::Error| Outcome::ConnectFailed;
        // As a whole: an instance that accepts late has less time for its greeting.
        let until = Instant::now() + self.limits.backend_connect_timeout;
        let handshake = Handshake::connect(permit, addr, &self.limits)?;
        handshake
            .write(&mut slices(&[b"\0\0\0\x26\0\x03\0\0user\0worker\0database\0catalog\0\0"]))
            .map_err(failed)?;
        let mut buffer = Buffer::new(BESIDE);
        let mut left = BESIDE;
        loop {
            let reader = handshake.reader(until).map_err(failed)?;
            let Some(frame) = buffer.next(reader).map_err(failed)? else {
                return Err(Outcome::ConnectFailed);
            };
            let body = buffer.get(frame.body());
            left = left.checked_sub(frame.whole.len()).ok_or(Outcome::ConnectFailed)?;
            match frame.tag {
                // What stands behind the greeting already would be taken for the first answer.
                b'Z' if body == b"I" && buffer.is_empty() => break,
                b'E' if error(body).is_some_and(|e| matches!(e.code, "53300" | "57P03")) => {
                    return Err(Outcome::Rejected);
                }
                b'R' | b'S' | b'K' | b'N' => {}
                _ => return Err(Outcome::ConnectFailed),
            }
        }
        let buffer = Buffer::new(self.limits.max_value_bytes + BESIDE);
        let (limits, wall_clock) = (self.limits.clone(), self.wall_clock.clone());
        let socket = handshake.finish().map_err(failed)?;
        Ok(PostgresLink { socket, buffer, limits, wall_clock, addr })
    }
}

impl Connection<Postgres> for PostgresLink {
    fn socket(&self) -> ServerSocket {
        self.socket.clone()
    }

    fn is_usable(&mut self, rested: Duration, permit: ConnectionPermit) -> bool {
        let quiet = self.buffer.is_empty() && self.socket.is_idle_and_open();
        quiet && (rested < self.limits.max_unchecked_idle_time || self.echoes(permit))
    }

    fn execute(
        &mut self,
        work: Exchange<'_, Postgres>,
        stop: &AttemptGuard,
    ) -> Result<ExchangeResult<Vec<u8>>, NotSent> {
        // An error that comes as the instance ends the connection would be taken for this work's answer.
        if !self.socket.is_idle_and_open() {
            return Err(NotSent::ConnectionBroken);
        }
        let permit = stop.permit_write().map_err(|_| NotSent::Cancelled)?;
        // Read behind the permit: what is told is what is left when the bytes go out.
        let now = Instant::now();
        let (probe, until, written) = match work {
            Exchange::Attempt(statement, at) => {
                let left = at.saturating_duration_since(now);
                let digits = left.as_millis().max(1).to_string();
                let (head, [before, after]) = statement.with_wait(&digits);
                let parts = &mut slices(&[&head, before, digits.as_bytes(), after]);
                let until =
                    Deadlines { useful: at, listen: now + left + self.limits.abandoned_response_timeout };
                (false, until, self.socket.write_last(permit, parts))
            }
            Exchange::Probe => {
                let mut probe = Vec::new();
                push(&mut probe, b'Q', &[b"SHOW stats\0"]);
                let at = now + self.limits.health_check_timeout;
                let written = self.socket.write_last(permit, &mut slices(&[&probe]));
                (true, Deadlines { useful: at, listen: at }, written)
            }
        };
        if written.is_err() {
            return Err(NotSent::ConnectionBroken);
        }
        Ok(self.reply(probe, &until))
    }
}

/// Up to when an answer is of use, and up to when it is listened for.
struct Deadlines {
    useful: Instant,
    listen: Instant,
}

impl PostgresLink {
    /// Asks with an empty query, which has no effect and is answered at once: a connection that was forgotten on the
    /// way brings a reset or nothing, before a request is lost on it.
    fn echoes(&mut self, permit: ConnectionPermit) -> bool {
        if self.socket.write_check(permit, &mut slices(&[b"Q\0\0\0\x05\0"])).is_err() {
            return false;
        }
        let until = Instant::now() + self.limits.backend_check_timeout;
        let mut empty = false;
        loop {
            let Ok(Some(frame)) = self.buffer.next(self.socket.reader(until)) else {
                return false;
            };
            match frame.tag {
                b'I' => empty = true,
                b'S' | b'N' => {}
                b'Z' => return empty && self.buffer.get(frame.body()) == b"I" && self.buffer.is_empty(),
                _ => return false,
            }
        }
    }

    /// Reads one answer.
    fn reply(&mut self, probe: bool, deadlines: &Deadlines) -> ExchangeResult<Vec<u8>> {
        let mut until = deadlines.listen;
        let (mut parser, mut settling) = (Parser::new(probe, self.limits.max_value_bytes), false);
        let end = loop {
            let frame = match self.buffer.next(self.socket.reader(until)) {
                Ok(Some(f)) => f,
                Ok(None) => break End::Closed,
                Err(e) => match e.kind() {
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => break End::Silent,
                    io::ErrorKind::InvalidData => break End::Spoilt,
                    _ => break End::Closed,
                },
            };
            if let Some(end) = parser.take(self.buffer.get(frame.whole), self.wall_clock.now()) {
                break end;
            }
            if !settling && parser.complete() {
                // The client's answer is here. What the rest of it takes must not cost the client that: the module
                // stops waiting when it is of no use any more, whatever has come by then.
                settling = true;
                let now = Instant::now();
                let left = deadlines.useful.saturating_duration_since(now) / 2;
                until = until.min(now + left.min(self.limits.response_end_timeout));
            }
        };
        let result = parser.end(end, self.buffer.ahead(), self.wall_clock.now());
        self.on_own_clock(result)
    }

    /// The times that the instance has stated, on the router's own clock.
    fn on_own_clock(&self, mut result: ExchangeResult<Vec<u8>>) -> ExchangeResult<Vec<u8>> {
        for report in [&mut result.response_report, &mut result.load_report] {
            let is_primary = report.primary == Some(true);
            report.position =
                report.position.and_then(|at| self.wall_clock.position(self.addr, at, is_primary));
        }
        result.commit = result.commit.map(|at| self.wall_clock.commit(at));
        result
    }
}
