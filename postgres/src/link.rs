//! The link to an instance: one request at a time on a connection that stays open between them.
use crate::message::{Buffer, push, write_gathered};
use crate::message::{error_field, parameter};
use crate::statement::Statement;
use routing::wire::{Link, Reply, Stop, Unsent, Wire, Work, connect, idle_and_open};
use routing::{Outcome, Report, Time};
use settings::Limits;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The platform's wire.
pub struct Postgres {
    limits: Arc<Limits>,
}

impl Postgres {
    /// A wire within these bounds.
    pub fn new(limits: Arc<Limits>) -> Self {
        Postgres { limits }
    }
}

/// A connection to an instance.
pub struct PostgresLink {
    socket: Arc<TcpStream>,
    buffer: Buffer,
    limits: Arc<Limits>,
}

impl Wire for Postgres {
    type Payload = Statement;
    /// RowDescription, DataRow and CommandComplete, as the instance wrote them.
    type Answer = Vec<u8>;
    type Link = PostgresLink;

    fn open(&self, addr: SocketAddr) -> Result<PostgresLink, Outcome> {
        let failed = |_: io::Error| Outcome::ConnectFailed;
        let socket = connect(addr, &self.limits).map_err(failed)?;
        write_gathered(&socket, &[b"\0\0\0\x26\0\x03\0\0user\0worker\0database\0catalog\0\0"])
            .map_err(failed)?;
        let mut buffer = Buffer::new(self.limits.message_bytes);
        loop {
            let Some(frame) = buffer.next(&socket).map_err(failed)? else {
                return Err(Outcome::ConnectFailed);
            };
            match frame.tag {
                b'Z' => break,
                b'E' if error_field(buffer.get(frame.body()), b'C') == Some("53300") => {
                    return Err(Outcome::Full);
                }
                b'E' => return Err(Outcome::ConnectFailed),
                _ => {}
            }
        }
        Ok(PostgresLink { socket: Arc::new(socket), buffer, limits: self.limits.clone() })
    }
}

/// What an instance said of itself in ParameterStatus messages.
#[derive(Default)]
struct Said {
    primary: Option<bool>,
    position: Option<Time>,
    report: Report,
}

impl Said {
    fn parameter(&mut self, name: &str, value: &str) {
        match (name, value) {
            ("mode", "read-write") => self.primary = Some(true),
            ("mode", "read-only") => self.primary = Some(false),
            ("wal_time", ms) => self.position = ms.parse().ok().map(|ms: i64| Time(ms.saturating_mul(1000))),
            ("stats", fields) => self.report = report(fields),
            _ => {}
        }
    }
}

/// A load report, `x0=1767225600.123,x1=1,...`: x0 is the position in seconds of Unix time, x1 tells the primary.
pub fn report(fields: &str) -> Report {
    let of = |name: &str| {
        let pair = fields.split(',').filter_map(|p| p.split_once('=')).find(|(n, _)| n.trim() == name)?;
        pair.1.trim().parse::<f64>().ok().filter(|x| x.is_finite())
    };
    Report { primary: of("x1").map(|x| x == 1.0), position: of("x0").map(|s| Time((s * 1e6).round() as i64)) }
}

impl Link<Postgres> for PostgresLink {
    fn socket(&self) -> Arc<TcpStream> {
        self.socket.clone()
    }

    fn alive(&mut self) -> bool {
        self.buffer.is_empty() && idle_and_open(&self.socket)
    }

    fn carry(&mut self, work: Work<'_, Postgres>, stop: &Stop) -> Result<Reply<Vec<u8>>, Unsent> {
        let now = Instant::now();
        let (digits, until);
        let mut probe = Vec::new();
        let parts = match work {
            Work::Attempt(statement, at) => {
                let left = at.saturating_duration_since(now);
                digits = left.as_millis().max(1).to_string();
                until = left + self.limits.link_backstop;
                Some((statement, statement.with_wait(&digits)))
            }
            Work::Probe => {
                push(&mut probe, b'Q', &[b"SHOW stats\0"]);
                (digits, until) = (String::new(), self.limits.probe);
                None
            }
        };
        if self.socket.set_read_timeout(Some(until.max(Duration::from_millis(1)))).is_err() {
            return Err(Unsent::Broken);
        }
        if !stop.begin() {
            return Err(Unsent::Stopped);
        }
        let written = match &parts {
            Some((_, (head, [before, after]))) => {
                write_gathered(&self.socket, &[head, before, digits.as_bytes(), after])
            }
            None => write_gathered(&self.socket, &[&probe]),
        };
        if written.is_err() {
            return Err(Unsent::Broken);
        }
        Ok(self.reply(parts.is_none()))
    }
}

impl PostgresLink {
    fn reply(&mut self, probe: bool) -> Reply<Vec<u8>> {
        let (mut answer, mut rows, mut complete) = (Vec::new(), 0, false);
        let (mut said, mut code, mut reusable) = (Said::default(), None, false);
        let mut broken = Outcome::Reset;
        loop {
            let frame = match self.buffer.next(&*self.socket) {
                Ok(Some(f)) => f,
                Ok(None) => break,
                Err(e) => {
                    if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) {
                        broken = Outcome::TimedOut;
                    }
                    break;
                }
            };
            let body = self.buffer.get(frame.body());
            match frame.tag {
                b'T' | b'D' | b'C' => {
                    if frame.tag == b'D' {
                        rows += 1;
                        if probe {
                            said.report = body
                                .get(6..)
                                .and_then(|v| std::str::from_utf8(v).ok())
                                .map(report)
                                .unwrap_or_default();
                        }
                    }
                    complete |= frame.tag == b'C';
                    answer.extend_from_slice(self.buffer.get(frame.whole));
                }
                b'E' => code = Some(error_field(body, b'C').unwrap_or("XX000").to_string()),
                b'S' => {
                    if let Some((name, value)) = parameter(body) {
                        said.parameter(name, value);
                    }
                }
                b'Z' => {
                    reusable = true;
                    break;
                }
                _ => {}
            }
        }
        // What was said before a break counts: a whole row is an answer, an error code is an error.
        let outcome = match code.as_deref() {
            None if complete && rows == 1 => Outcome::Ok,
            None if reusable => Outcome::Error,
            None => broken,
            Some("25006" | "72000") => Outcome::Miss,
            Some("53300") => Outcome::Full,
            Some(_) => Outcome::Error,
        };
        let served = outcome == Outcome::Ok;
        let note = Report { primary: said.primary, position: said.position };
        let answer = (served && !probe).then_some(answer);
        Reply { outcome, answer, note, report: said.report, reusable }
    }
}
