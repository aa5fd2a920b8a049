//! Replays the requests of a capture through a router. The requests are sent one at a time in the order of
//! the capture, with one connection for each client of the capture.
use crate::request::{Request, Statement};
use mysql_wire::fields::FieldReader;
use mysql_wire::login::{Credentials, LoginError, login};
use mysql_wire::packet::{PacketReader, ReadError, write_command};
use mysql_wire::results::ResponseState;
use mysql_wire::statement::scan;
use mysql_wire::{command, errors};
use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use thiserror::Error;

/// Maximum length of a payload, in bytes.
const MAX_PAYLOAD_BYTES: usize = 64 << 20;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for the login, and for reading from the connection after it.
const RESPONSE_TIMEOUT: Duration = Duration::from_mins(1);

/// Handling of requests that may write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WritePolicy {
    /// Writing requests are not sent.
    Skip,
    /// Writing requests are sent, so they are executed once more.
    Send,
}

/// Result of replaying one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplayResult {
    /// The request was not sent, because it may write.
    Skipped,
    /// The router returned a result.
    Succeeded,
    /// The router returned the error with this number.
    Error(u16),
}

impl fmt::Display for ReplayResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReplayResult::Skipped => f.write_str("left out: it may write"),
            ReplayResult::Succeeded => f.write_str("answered"),
            ReplayResult::Error(number) => write!(f, "error {number}"),
        }
    }
}

/// Number of replayed requests by result.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ReplaySummary {
    /// Requests for which the router returned a result.
    pub succeeded: usize,
    /// Requests for which the router returned an error.
    pub errors: usize,
    /// Requests that were not sent, because they may write.
    pub skipped: usize,
}

impl ReplaySummary {
    fn count(&mut self, result: ReplayResult) {
        match result {
            ReplayResult::Skipped => self.skipped += 1,
            ReplayResult::Succeeded => self.succeeded += 1,
            ReplayResult::Error(_) => self.errors += 1,
        }
    }
}

/// Error that ended a replay early.
#[derive(Debug, Error)]
#[error("{router}: {cause}")]
pub struct ReplayError {
    /// Address of the router.
    router: SocketAddr,
    cause: ConnectionError,
}

#[derive(Debug, Error)]
enum ConnectionError {
    #[error("cannot open a connection: {0}")]
    Connect(io::Error),
    #[error("login failed: {0}; check the user, the database and $DAMSONVALE_PASSWORD")]
    Login(LoginError),
    #[error("connection failed: {0}")]
    Write(io::Error),
    #[error("connection failed: {0}")]
    Read(ReadError),
    #[error("malformed response to {0}")]
    MalformedResponse(&'static str),
}

/// Connection to the router that replays the requests of one client.
struct Connection {
    socket: TcpStream,
    reader: PacketReader,
    /// IDs of prepared statements by statement text.
    prepared: HashMap<Vec<u8>, u32>,
}

/// Replays the requests, and calls `on_result` with each request and its result.
///
/// # Errors
/// A connection could not be opened, or it failed.
pub fn replay(
    requests: &[Request],
    router: SocketAddr,
    credentials: &Credentials,
    write_policy: WritePolicy,
    mut on_result: impl FnMut(&Request, ReplayResult),
) -> Result<ReplaySummary, ReplayError> {
    let to_error = |cause| ReplayError { router, cause };
    let mut connections: HashMap<SocketAddr, Connection> = HashMap::new();
    let mut summary = ReplaySummary::default();
    for request in requests {
        let result = if write_policy == WritePolicy::Skip && !is_read_only(&request.statement) {
            ReplayResult::Skipped
        } else {
            let connection = match connections.entry(request.client) {
                Entry::Occupied(open) => open.into_mut(),
                Entry::Vacant(new) => new.insert(Connection::open(router, credentials).map_err(to_error)?),
            };
            connection.execute(&request.statement).map_err(to_error)?
        };
        summary.count(result);
        on_result(request, result);
    }
    Ok(summary)
}

fn is_read_only(statement: &Statement) -> bool {
    std::str::from_utf8(statement.text()).is_ok_and(|text| scan(text).is_read_only())
}

impl Connection {
    fn open(router: SocketAddr, credentials: &Credentials) -> Result<Connection, ConnectionError> {
        let socket =
            TcpStream::connect_timeout(&router, CONNECT_TIMEOUT).map_err(ConnectionError::Connect)?;
        socket.set_nodelay(true).map_err(ConnectionError::Connect)?;
        let mut reader = PacketReader::new(MAX_PAYLOAD_BYTES);
        let deadline = Instant::now() + RESPONSE_TIMEOUT;
        login(&socket, &mut reader, credentials, deadline).map_err(ConnectionError::Login)?;
        socket.set_read_timeout(Some(RESPONSE_TIMEOUT)).map_err(ConnectionError::Connect)?;
        Ok(Connection { socket, reader, prepared: HashMap::new() })
    }

    fn send(&self, command: &[&[u8]]) -> Result<(), ConnectionError> {
        write_command(&self.socket, command).map_err(ConnectionError::Write)
    }

    fn read_payload(&mut self) -> Result<Vec<u8>, ConnectionError> {
        self.reader.read_packet(&self.socket).map(|packet| packet.payload).map_err(ConnectionError::Read)
    }

    /// Sends a statement and reads its response.
    fn execute(&mut self, statement: &Statement) -> Result<ReplayResult, ConnectionError> {
        match statement {
            Statement::Query(text) => {
                self.send(&[&[command::QUERY], text])?;
                self.read_result()
            }
            Statement::Execute { text, body, long_parameters } => match self.prepared_id(text)? {
                PrepareOutcome::Id(id) => self.execute_prepared(id, body, long_parameters),
                PrepareOutcome::Rejected(number) => Ok(ReplayResult::Error(number)),
            },
        }
    }

    /// Returns the ID of a prepared statement. The statement is prepared if this connection has not prepared
    /// it yet.
    fn prepared_id(&mut self, text: &[u8]) -> Result<PrepareOutcome, ConnectionError> {
        if let Some(id) = self.prepared.get(text) {
            return Ok(PrepareOutcome::Id(*id));
        }
        self.send(&[&[command::STMT_PREPARE], text])?;
        let response = self.read_payload()?;
        if let Some(number) = errors::error_number(&response) {
            return Ok(PrepareOutcome::Rejected(number));
        }
        let mut fields = FieldReader::new(response.get(1..).unwrap_or(&[]));
        let (Some(id), Some(columns), Some(parameters)) =
            (fields.integer(4), fields.integer(2), fields.integer(2))
        else {
            return Err(ConnectionError::MalformedResponse("a prepare command"));
        };
        // The parameter definitions and the column definitions follow, each list terminated by an EOF unless
        // it is empty.
        let definitions: u64 =
            [parameters, columns].iter().filter(|count| **count > 0).map(|count| count + 1).sum();
        for _ in 0..definitions {
            self.read_payload()?;
        }
        self.prepared.insert(text.to_vec(), id as u32);
        Ok(PrepareOutcome::Id(id as u32))
    }

    fn execute_prepared(
        &mut self,
        id: u32,
        body: &[u8],
        long_parameters: &BTreeMap<u16, Vec<u8>>,
    ) -> Result<ReplayResult, ConnectionError> {
        let id = id.to_le_bytes();
        for (index, value) in long_parameters {
            self.send(&[&[command::STMT_SEND_LONG_DATA], &id, &index.to_le_bytes(), value])?;
        }
        self.send(&[&[command::STMT_EXECUTE], &id, body])?;
        self.read_result()
    }

    fn read_result(&mut self) -> Result<ReplayResult, ConnectionError> {
        let mut state = ResponseState::Start;
        loop {
            let payload = self.read_payload()?;
            state.advance(&payload);
            match state {
                ResponseState::Done(_) => return Ok(ReplayResult::Succeeded),
                ResponseState::Failed => {
                    let number = errors::error_number(&payload);
                    return Ok(number.map_or(ReplayResult::Succeeded, ReplayResult::Error));
                }
                ResponseState::Malformed => return Err(ConnectionError::MalformedResponse("a statement")),
                _ => {}
            }
        }
    }
}

/// Outcome of preparing a statement.
enum PrepareOutcome {
    Id(u32),
    /// The router returned the error with this number.
    Rejected(u16),
}
