//! The MySQL conversations of a capture, and the requests in them.
use crate::capture::{self, CaptureError};
use crate::streams::{Stream, segment};
use mysql_wire::fields::FieldReader;
use mysql_wire::handshake::{Greeting, HandshakeResponse};
use mysql_wire::packet::{HEAD_BYTES, MAX_PACKET_PAYLOAD, Packet, PacketReader};
use mysql_wire::results::{ResponseState, eof_status};
use mysql_wire::{command, errors};
use std::collections::{BTreeMap, HashMap};
use std::io::Read;
use std::net::SocketAddr;
use std::time::Duration;

/// The longest payload that is taken for one.
const MOST: usize = 64 << 20;

/// What a client asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Asked {
    /// A statement as text.
    Query(Vec<u8>),
    /// The execution of a prepared statement.
    Execute {
        /// The statement's text.
        text: Vec<u8>,
        /// Flags, count and parameters, with their types.
        body: Vec<u8>,
        /// Long parameters sent ahead.
        long: BTreeMap<u16, Vec<u8>>,
    },
}

impl Asked {
    /// The statement's text.
    pub fn text(&self) -> &[u8] {
        match self {
            Asked::Query(text) | Asked::Execute { text, .. } => text,
        }
    }
}

/// How a request ended in the capture.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// It was answered.
    Answered,
    /// The answer was this error.
    Error(u16),
    /// The capture holds no whole answer.
    Cut,
}

/// A request in a capture.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// When its last byte was sent, as Unix time.
    pub at: Duration,
    /// Who asked.
    pub client: SocketAddr,
    /// What.
    pub asked: Asked,
    /// How it ended.
    pub ended: Ended,
}

/// What a capture holds.
#[derive(Default)]
pub struct Found {
    /// The requests, in order of time.
    pub requests: Vec<Request>,
    /// Conversations that could not be read whole, and why.
    pub remarks: Vec<String>,
}

/// Reads a capture. An error comes with what was found before it.
pub fn read(from: impl Read) -> (Found, Result<(), CaptureError>) {
    let mut streams: HashMap<(SocketAddr, SocketAddr), Vec<Stream>> = HashMap::new();
    let mut order = Vec::new();
    let ended = capture::packets(from, |p| {
        let Some(s) = segment(&p) else { return };
        let way = (s.from, s.to);
        let all = streams.entry(way).or_insert_with(|| {
            order.push(way);
            vec![Stream::default()]
        });
        // Ports are used again: bytes behind a new SYN belong to a new connection.
        if s.syn && all.last().is_some_and(|l| !l.bytes.is_empty()) {
            all.push(Stream::default());
        }
        if let Some(last) = all.last_mut() {
            last.take(p.at, s);
        }
    });
    let mut found = Found::default();
    for way @ (from, to) in order {
        let (Some(clients), Some(servers)) = (streams.get(&way), streams.get(&(to, from))) else { continue };
        for (client, server) in clients.iter().zip(servers) {
            // The server speaks first, with a greeting.
            let mut reader = PacketReader::new(MOST);
            let greeted =
                reader.read_packet(&server.bytes[..]).is_ok_and(|p| Greeting::parse(&p.payload).is_some());
            if greeted {
                conversation(from, client, server, &mut found);
            } else if client.late && server.late && from.port() > to.port() {
                found.remarks.push(format!("{from} to {to}: the capture begins within the conversation"));
            }
        }
    }
    found.requests.sort_by_key(|r| r.at);
    (found, ended)
}

/// Payloads of one direction, with the place behind each.
struct Payloads<'a> {
    reader: PacketReader,
    left: &'a [u8],
    place: usize,
}

impl<'a> Payloads<'a> {
    fn of(stream: &'a Stream) -> Self {
        Payloads { reader: PacketReader::new(MOST), left: &stream.bytes, place: 0 }
    }

    fn next(&mut self) -> Option<Packet> {
        let packet = self.reader.read_packet(&mut self.left).ok()?;
        let bytes = packet.payload.len();
        self.place += bytes + HEAD_BYTES * (1 + bytes / MAX_PACKET_PAYLOAD);
        Some(packet)
    }
}

struct Known {
    text: Vec<u8>,
    parameters: usize,
    types: Vec<u8>,
    long: BTreeMap<u16, Vec<u8>>,
}

fn conversation(from: SocketAddr, client: &Stream, server: &Stream, found: &mut Found) {
    let (mut asks, mut answers) = (Payloads::of(client), Payloads::of(server));
    // The login: whatever the server sends up to its OK or its error.
    let login = asks.next().and_then(|p| HandshakeResponse::parse(&p.payload));
    if login.is_none() {
        return found.remarks.push(format!("{from}: the login can't be read"));
    }
    answers.next();
    loop {
        match answers.next().as_ref().and_then(|p| p.payload.first().copied()) {
            Some(0) => break,
            Some(0xff) | None => return,
            Some(_) => {}
        }
    }
    let mut known: HashMap<u32, Known> = HashMap::new();
    while let Some(ask) = asks.next() {
        let at = client.at(asks.place);
        // Answers to a switch of the proof come before the first command.
        let (0, Some((&name, body))) = (ask.first, ask.payload.split_first()) else { continue };
        let mut f = FieldReader::new(body);
        let statement = f.integer(4).map(|id| id as u32);
        match name {
            command::QUIT => return,
            command::STMT_CLOSE => _ = statement.map(|id| known.remove(&id)),
            command::STMT_SEND_LONG_DATA => {
                if let (Some(k), Some(n)) = (statement.and_then(|id| known.get_mut(&id)), f.integer(2)) {
                    k.long.entry(n as u16).or_default().extend_from_slice(f.rest());
                }
            }
            command::STMT_PREPARE => {
                if let Some((id, parameters)) = prepared(&mut answers) {
                    let (types, long) = (Vec::new(), BTreeMap::new());
                    known.insert(id, Known { text: body.to_vec(), parameters, types, long });
                }
            }
            command::QUERY | command::STMT_EXECUTE => {
                let asked = if name == command::QUERY {
                    Some(Asked::Query(body.to_vec()))
                } else {
                    statement.and_then(|id| known.get_mut(&id)).and_then(|k| execution(k, f.rest()))
                };
                let ended = answer(&mut answers);
                match asked {
                    Some(asked) => found.requests.push(Request { at, client: from, asked, ended }),
                    None => found.remarks.push(format!("{from}: an execution can't be read")),
                }
            }
            command::STMT_FETCH => {
                while answers.next().is_some_and(|p| {
                    eof_status(&p.payload).is_none() && errors::error_number(&p.payload).is_none()
                }) {}
            }
            _ => _ = answers.next(),
        }
    }
    if client.gap() || server.gap() {
        found.remarks.push(format!("{from}: segments are missing; what came behind them is left out"));
    }
}

/// The id and the count of parameters that a server gave to a statement.
fn prepared(answers: &mut Payloads<'_>) -> Option<(u32, usize)> {
    let first = answers.next()?;
    let mut f = FieldReader::new(&first.payload);
    if f.integer(1)? != 0 {
        return None;
    }
    let (id, columns, parameters) = (f.integer(4)? as u32, f.integer(2)?, f.integer(2)?);
    for n in [parameters, columns].into_iter().filter(|n| *n > 0) {
        for _ in 0..=n {
            answers.next();
        }
    }
    Some((id, parameters as usize))
}

/// An execution with its parameters' types, which the client may have sent with an earlier one.
fn execution(known: &mut Known, body: &[u8]) -> Option<Asked> {
    let mut statement =
        mysql_wire::prepared::Parameters { count: known.parameters, types: std::mem::take(&mut known.types) };
    let execution = statement.execution(body);
    known.types = statement.types;
    let (text, long) = (known.text.clone(), std::mem::take(&mut known.long));
    Some(Asked::Execute { text, body: execution?.body, long })
}

fn answer(answers: &mut Payloads<'_>) -> Ended {
    let mut state = ResponseState::Start;
    while let Some(p) = answers.next() {
        state.advance(&p.payload);
        match state {
            ResponseState::Done => return Ended::Answered,
            ResponseState::Failed => return Ended::Error(errors::error_number(&p.payload).unwrap_or(0)),
            ResponseState::Malformed => return Ended::Cut,
            // A cursor's columns end the answer; its rows are fetched.
            ResponseState::Rows
                if eof_status(&p.payload).is_some_and(|s| s & mysql_wire::results::CURSOR_EXISTS != 0) =>
            {
                return Ended::Answered;
            }
            _ => {}
        }
    }
    Ended::Cut
}
