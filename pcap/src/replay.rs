//! Sends a capture's requests through a router, in order and one at a time, each conversation on a connection of
//! its own. Writes go out only where they are asked for.
use crate::conversations::{Asked, Request};
use mysql_wire::fields::FieldReader;
use mysql_wire::login::{Credentials, login};
use mysql_wire::packet::{PacketReader, write_command};
use mysql_wire::results::ResponseState;
use mysql_wire::statement::scan;
use mysql_wire::{command, errors};
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use thiserror::Error;

/// The longest answer that is read.
const MOST: usize = 64 << 20;

/// How a replay went.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Replayed {
    /// Requests that were answered.
    pub answered: usize,
    /// Requests that ended in an error.
    pub errors: usize,
    /// Writes that were not sent.
    pub left_out: usize,
}

/// Why a replay ended before its end.
#[derive(Debug, Error)]
#[error("{router}: {why}")]
pub struct ReplayError {
    /// The router's address.
    router: SocketAddr,
    why: Why,
}

#[derive(Debug, Error)]
enum Why {
    #[error("{0}")]
    Away(io::Error),
    #[error("no login: {0}; look at user, database and $DAMSONVALE_PASSWORD")]
    Login(String),
    #[error("the connection failed: {0}")]
    Broken(io::Error),
    #[error("the connection failed: {0}")]
    Answer(String),
    #[error("{0} can't be read")]
    Unreadable(&'static str),
}

struct Connection {
    socket: TcpStream,
    reader: PacketReader,
    prepared: HashMap<Vec<u8>, u32>,
}

/// Replays requests; `told` hears of each how it ended.
pub fn replay(
    requests: &[Request],
    router: SocketAddr,
    credentials: &Credentials,
    writes: bool,
    mut told: impl FnMut(&Request, &str),
) -> Result<Replayed, ReplayError> {
    let mut connections: HashMap<SocketAddr, Connection> = HashMap::new();
    let mut done = Replayed::default();
    for r in requests {
        let reads = std::str::from_utf8(r.asked.text()).is_ok_and(|t| scan(t).is_read_only());
        if !reads && !writes {
            done.left_out += 1;
            told(r, "left out: it may write");
            continue;
        }
        let c = match connections.entry(r.client) {
            Entry::Occupied(known) => known.into_mut(),
            Entry::Vacant(new) => new.insert(Connection::open(router, credentials)?),
        };
        match c.ask(&r.asked).map_err(|why| ReplayError { router, why })? {
            None => {
                done.answered += 1;
                told(r, "answered");
            }
            Some(code) => {
                done.errors += 1;
                told(r, &format!("error {code}"));
            }
        }
    }
    Ok(done)
}

impl Connection {
    fn open(router: SocketAddr, credentials: &Credentials) -> Result<Connection, ReplayError> {
        let failed = |e| ReplayError { router, why: Why::Away(e) };
        let socket = TcpStream::connect_timeout(&router, Duration::from_secs(5)).map_err(failed)?;
        socket.set_nodelay(true).map_err(failed)?;
        let mut reader = PacketReader::new(MOST);
        let patience = Duration::from_secs(60);
        let login = login(&socket, &mut reader, credentials, Instant::now() + patience);
        login.map_err(|e| ReplayError { router, why: Why::Login(e.to_string()) })?;
        socket.set_read_timeout(Some(patience)).map_err(failed)?;
        Ok(Connection { socket, reader, prepared: HashMap::new() })
    }

    fn payload(&mut self) -> Result<Vec<u8>, Why> {
        self.reader.read_packet(&self.socket).map(|p| p.payload).map_err(|e| Why::Answer(format!("{e:?}")))
    }

    /// Sends a request and reads its answer: the code of an error, if it was one.
    fn ask(&mut self, asked: &Asked) -> Result<Option<u16>, Why> {
        let sent = |r: io::Result<()>| r.map_err(Why::Broken);
        match asked {
            Asked::Query(text) => sent(write_command(&self.socket, &[&[command::QUERY], text]))?,
            Asked::Execute { text, body, long } => {
                let id = match self.prepared.get(text) {
                    Some(id) => *id,
                    None => {
                        sent(write_command(&self.socket, &[&[command::STMT_PREPARE], text]))?;
                        let first = self.payload()?;
                        if let Some(code) = errors::error_number(&first) {
                            return Ok(Some(code));
                        }
                        let mut f = FieldReader::new(first.get(1..).unwrap_or(&[]));
                        let (Some(id), Some(columns), Some(parameters)) =
                            (f.integer(4), f.integer(2), f.integer(2))
                        else {
                            return Err(Why::Unreadable("the answer to a prepare"));
                        };
                        let follow: u64 =
                            [parameters, columns].iter().filter(|n| **n > 0).map(|n| n + 1).sum();
                        for _ in 0..follow {
                            self.payload()?;
                        }
                        self.prepared.insert(text.clone(), id as u32);
                        id as u32
                    }
                };
                for (n, bytes) in long {
                    let head =
                        [&[command::STMT_SEND_LONG_DATA][..], &id.to_le_bytes(), &n.to_le_bytes()].concat();
                    sent(write_command(&self.socket, &[&head, bytes]))?;
                }
                sent(write_command(&self.socket, &[&[command::STMT_EXECUTE], &id.to_le_bytes(), body]))?;
            }
        }
        let mut state = ResponseState::Start;
        loop {
            let p = self.payload()?;
            state.advance(&p);
            match state {
                ResponseState::Done => return Ok(None),
                ResponseState::Failed => return Ok(errors::error_number(&p)),
                ResponseState::Malformed => return Err(Why::Unreadable("an answer")),
                _ => {}
            }
        }
    }
}
