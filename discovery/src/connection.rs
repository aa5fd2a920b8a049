//! One connection of the watch: it connects, sends the request and splits what comes. It never blocks: [`advance`]
//! goes on where the last call stopped.
//!
//! [`advance`]: WatchConnection::advance

use crate::error::ConnectionError;
use crate::json_objects::{ObjectSplitter, StreamItem};
use http1::{Body, MAX_HEAD_BYTES, Response};
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use settings::Limits;
use std::io::{self, BufReader, Chain, Cursor, Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Bytes that are read at a time.
const READ_BUFFER_BYTES: usize = 8192;
/// After so many bytes of one connection the others have their turn.
const MAX_BYTES_PER_TURN: usize = 64 * 1024;

/// Reads a socket that its connection also writes to.
struct SharedSocket(Arc<TcpStream>);

impl Read for SharedSocket {
    fn read(&mut self, to: &mut [u8]) -> io::Result<usize> {
        (&*self.0).read(to)
    }
}

/// The answer's body: what came behind the head first, then the socket.
type StreamBody = Body<Chain<Cursor<Vec<u8>>, SharedSocket>>;

enum State {
    /// The connection is not up yet.
    Connecting,
    /// The request is being written; this is left of it.
    Requesting(Vec<u8>),
    /// The head of the answer is incomplete; these are its bytes so far.
    ReadingHead(Vec<u8>),
    /// The answer's body is read.
    Streaming(Box<(StreamBody, ObjectSplitter)>),
}

/// What a connection has brought, in order.
#[derive(Debug)]
pub(crate) enum Received {
    /// A response head with status 200.
    ResponseHead,
    /// An object or an empty line.
    Item(StreamItem),
}

/// Whether a connection that is not over has more to read at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// It waits for an event of its socket.
    Waiting,
    /// It has used up its turn.
    HasMore,
}

pub(crate) struct WatchConnection {
    socket: Arc<TcpStream>,
    /// The address that it is connected to.
    pub(crate) addr: SocketAddr,
    /// The version that it resumed from, or the last one that it has brought; `None` before it has sent its request.
    pub(crate) version: Option<u64>,
    state: State,
    /// Until the response head is there, the connection fails at this moment.
    step_deadline: Instant,
    /// How long the agent may take for each further part of the head.
    head_timeout: Duration,
    max_object_bytes: usize,
}

impl WatchConnection {
    /// Begins to connect; `registry` reports the socket's events under `token`.
    ///
    /// # Errors
    /// The system's, among others if the process is out of descriptors.
    pub(crate) fn open(
        addr: SocketAddr,
        limits: &Limits,
        registry: &Registry,
        token: Token,
    ) -> io::Result<WatchConnection> {
        let mut socket = TcpStream::connect(addr)?;
        registry.register(&mut socket, token, Interest::READABLE | Interest::WRITABLE)?;
        Ok(WatchConnection {
            socket: Arc::new(socket),
            addr,
            version: None,
            state: State::Connecting,
            step_deadline: Instant::now() + limits.watch_connect_timeout,
            head_timeout: limits.watch_silence_timeout,
            max_object_bytes: limits.max_discovery_line_bytes,
        })
    }

    /// When the connection has failed unless it is further by then; `None` once the head is there, from when on the
    /// state machine decides how long it may be silent.
    pub(crate) fn step_deadline(&self) -> Option<Instant> {
        (!matches!(self.state, State::Streaming(_))).then_some(self.step_deadline)
    }

    /// The socket has become writable: where it was connecting, that has ended. The request resumes from `version`.
    ///
    /// # Errors
    /// The connection could not be made.
    pub(crate) fn on_writable(&mut self, version: u64) -> Result<(), ConnectionError> {
        if !matches!(self.state, State::Connecting) {
            return Ok(());
        }
        if let Some(error) = self.socket.take_error()? {
            return Err(error.into());
        }
        // Set behind the connect: before it, some systems refuse it.
        self.socket.set_nodelay(true)?;
        let addr = self.addr;
        let request = format!("GET /v1/servers?stream=1&index={version} HTTP/1.1\r\nHost: {addr}\r\n\r\n");
        self.version = Some(version);
        self.state = State::Requesting(request.into_bytes());
        self.step_deadline = Instant::now() + self.head_timeout;
        Ok(())
    }

    /// Writes and reads what can be without waiting, and adds what has come to `received`.
    ///
    /// # Errors
    /// Why the connection is over. What came before is in `received` and counts.
    pub(crate) fn advance(&mut self, received: &mut Vec<Received>) -> Result<Progress, ConnectionError> {
        let advanced = self.advance_states(received);
        match advanced {
            Err(ConnectionError::Io(error)) if error.kind() == io::ErrorKind::WouldBlock => {
                Ok(Progress::Waiting)
            }
            Err(ConnectionError::Io(error)) if error.kind() == io::ErrorKind::Interrupted => {
                Ok(Progress::HasMore)
            }
            other => other,
        }
    }

    fn advance_states(&mut self, received: &mut Vec<Received>) -> Result<Progress, ConnectionError> {
        loop {
            match &mut self.state {
                State::Connecting => return Ok(Progress::Waiting),
                State::Requesting(unsent) => {
                    let written = (&*self.socket).write(unsent)?;
                    unsent.drain(..written);
                    if unsent.is_empty() {
                        self.state = State::ReadingHead(Vec::new());
                    }
                }
                State::ReadingHead(head) => {
                    read_head(&self.socket, head)?;
                    self.step_deadline = Instant::now() + self.head_timeout;
                    if has_whole_head(head) || head.len() > MAX_HEAD_BYTES {
                        self.state = self.begin_body()?;
                        received.push(Received::ResponseHead);
                    }
                }
                State::Streaming(stream) => {
                    let (body, splitter) = &mut **stream;
                    return forward_items(body, splitter, received);
                }
            }
        }
    }

    /// The state behind a whole response head.
    fn begin_body(&mut self) -> Result<State, ConnectionError> {
        let State::ReadingHead(head) = &mut self.state else { return Err(ConnectionError::Closed) };
        let received_head = Cursor::new(std::mem::take(head));
        let rest = received_head.chain(SharedSocket(self.socket.clone()));
        let response = Response::read(BufReader::with_capacity(READ_BUFFER_BYTES, rest))?;
        if response.status != 200 {
            return Err(ConnectionError::UnexpectedStatus(response.status));
        }
        Ok(State::Streaming(Box::new((response.body, ObjectSplitter::new(self.max_object_bytes)))))
    }
}

/// Reads some more of a response head.
fn read_head(mut socket: &TcpStream, head: &mut Vec<u8>) -> Result<(), ConnectionError> {
    let mut bytes = [0; 1024];
    let count = socket.read(&mut bytes)?;
    if count == 0 {
        return Err(ConnectionError::Closed);
    }
    head.extend_from_slice(&bytes[..count]);
    Ok(())
}

fn has_whole_head(bytes: &[u8]) -> bool {
    bytes.windows(4).any(|four| four == b"\r\n\r\n")
}

/// Reads the body until nothing more has come or the turn is over.
fn forward_items(
    body: &mut StreamBody,
    splitter: &mut ObjectSplitter,
    received: &mut Vec<Received>,
) -> Result<Progress, ConnectionError> {
    let (mut bytes, mut items) = (Vec::new(), Vec::new());
    let mut total = 0;
    while total < MAX_BYTES_PER_TURN {
        if body.read_available(&mut bytes)? == 0 {
            return Err(ConnectionError::Closed);
        }
        total += bytes.len();
        let split = splitter.push(&bytes, &mut items);
        bytes.clear();
        // What came before the fault still counts.
        received.extend(items.drain(..).map(Received::Item));
        split?;
    }
    Ok(Progress::HasMore)
}
