//! The link to an instance: one request at a time on a connection that stays open between them.
use crate::answer::{BESIDE, End, Parser};
use crate::message::{Buffer, error, push, write_gathered};
use crate::statement::Statement;
use routing::socket::{DeadlineReader, connect_to_endpoint, is_idle_and_open};
use routing::{AttemptGuard, BackendProtocol, Clock, Connection, Exchange, ExchangeResult, NotSent, Outcome};
use settings::Limits;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The platform's wire.
pub struct Postgres {
    limits: Arc<Limits>,
    clock: Clock,
}

impl Postgres {
    /// A wire within these bounds.
    pub fn new(limits: Arc<Limits>) -> Self {
        Postgres { limits, clock: Clock::new() }
    }
}

/// A connection to an instance.
pub struct PostgresLink {
    socket: Arc<TcpStream>,
    buffer: Buffer,
    limits: Arc<Limits>,
    clock: Clock,
}

impl BackendProtocol for Postgres {
    type Payload = Statement;
    /// RowDescription, DataRow and CommandComplete, as the instance wrote them.
    type Response = Vec<u8>;
    type Connection = PostgresLink;

    fn connect(&self, addr: SocketAddr) -> Result<PostgresLink, Outcome> {
        let failed = |_: io::Error| Outcome::ConnectFailed;
        // As a whole: an instance that accepts late has less time for its greeting.
        let until = Instant::now() + self.limits.connect;
        let socket = connect_to_endpoint(addr, &self.limits).map_err(failed)?;
        write_gathered(&socket, &[b"\0\0\0\x26\0\x03\0\0user\0worker\0database\0catalog\0\0"])
            .map_err(failed)?;
        let mut buffer = Buffer::new(BESIDE);
        let mut left = BESIDE;
        loop {
            let Some(frame) = buffer.next(DeadlineReader::new(&socket, until)).map_err(failed)? else {
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
        let buffer = Buffer::new(self.limits.value_bytes + BESIDE);
        let (limits, clock) = (self.limits.clone(), self.clock);
        Ok(PostgresLink { socket: Arc::new(socket), buffer, limits, clock })
    }
}

impl Connection<Postgres> for PostgresLink {
    fn socket(&self) -> Arc<TcpStream> {
        self.socket.clone()
    }

    fn is_usable(&mut self, rested: Duration) -> bool {
        let quiet = self.buffer.is_empty() && is_idle_and_open(&self.socket);
        quiet && (rested < self.limits.link_trust || self.echoes())
    }

    fn execute(
        &mut self,
        work: Exchange<'_, Postgres>,
        stop: &AttemptGuard,
    ) -> Result<ExchangeResult<Vec<u8>>, NotSent> {
        let now = Instant::now();
        let (digits, at, until);
        let mut probe = Vec::new();
        let parts = match work {
            Exchange::Attempt(statement, until_then) => {
                let left = until_then.saturating_duration_since(now);
                digits = left.as_millis().max(1).to_string();
                (at, until) = (until_then, now + left + self.limits.link_backstop);
                Some((statement, statement.with_wait(&digits)))
            }
            Exchange::Probe => {
                push(&mut probe, b'Q', &[b"SHOW stats\0"]);
                digits = String::new();
                (at, until) = (now + self.limits.probe, now + self.limits.probe);
                None
            }
        };
        // An error that comes as the instance ends the connection would be taken for this work's answer.
        if !is_idle_and_open(&self.socket) {
            return Err(NotSent::ConnectionBroken);
        }
        if !stop.try_start() {
            return Err(NotSent::Cancelled);
        }
        let written = match &parts {
            Some((_, (head, [before, after]))) => {
                write_gathered(&self.socket, &[head, before, digits.as_bytes(), after])
            }
            None => write_gathered(&self.socket, &[&probe]),
        };
        if written.is_err() {
            return Err(NotSent::ConnectionBroken);
        }
        stop.mark_sent();
        Ok(self.reply(parts.is_none(), at, until))
    }
}

impl PostgresLink {
    /// Asks with an empty query, which has no effect and is answered at once: a connection that was forgotten on the
    /// way brings a reset or nothing, before a request is lost on it.
    fn echoes(&mut self) -> bool {
        if write_gathered(&self.socket, &[b"Q\0\0\0\x05\0"]).is_err() {
            return false;
        }
        let until = Instant::now() + self.limits.link_check;
        let mut empty = false;
        loop {
            let Ok(Some(frame)) = self.buffer.next(DeadlineReader::new(&self.socket, until)) else {
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

    /// Reads one answer. Of use is it up to `at`; listened for is it up to `until`.
    fn reply(&mut self, probe: bool, at: Instant, mut until: Instant) -> ExchangeResult<Vec<u8>> {
        let (mut parser, mut settling) = (Parser::new(probe, self.limits.value_bytes), false);
        let end = loop {
            let frame = match self.buffer.next(DeadlineReader::new(&self.socket, until)) {
                Ok(Some(f)) => f,
                Ok(None) => break End::Closed,
                Err(e) => match e.kind() {
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => break End::Silent,
                    io::ErrorKind::InvalidData => break End::Spoilt,
                    _ => break End::Closed,
                },
            };
            if let Some(end) = parser.take(self.buffer.get(frame.whole), self.clock.now()) {
                break end;
            }
            if !settling && parser.complete() {
                // The client's answer is here. What the rest of it takes must not cost the client that: the module
                // stops waiting at the moment `at`, whatever has come by then.
                settling = true;
                let now = Instant::now();
                let left = at.saturating_duration_since(now) / 2;
                until = until.min(now + left.min(self.limits.answer_settle));
            }
        };
        parser.end(end, self.buffer.ahead(), self.clock.now())
    }
}
