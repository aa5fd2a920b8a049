//! One connection of the watch: connects, sends the request and splits the response. All I/O is non-blocking:
//! [`advance`] continues where the last call stopped.
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

/// Buffer size for reads from the socket.
const READ_BUFFER_BYTES: usize = 8192;
/// After reading this many bytes from one connection, the driver serves the remaining connections.
const MAX_BYTES_PER_TURN: usize = 64 * 1024;

/// A reader for the socket, which the connection also writes to.
struct SharedSocket(Arc<TcpStream>);

impl Read for SharedSocket {
    fn read(&mut self, to: &mut [u8]) -> io::Result<usize> {
        (&*self.0).read(to)
    }
}

/// The response body: first the bytes received together with the head, then the socket.
type StreamBody = Body<Chain<Cursor<Vec<u8>>, SharedSocket>>;

enum State {
    /// The TCP connection is not established yet.
    Connecting,
    /// The request is being sent; holds the unsent bytes.
    Requesting(Vec<u8>),
    /// The response head is being received; holds its bytes so far.
    ReadingHead(Vec<u8>),
    /// The response body is being received.
    Streaming(Box<(StreamBody, ObjectSplitter)>),
}

/// A part of the response that was received.
#[derive(Debug)]
pub(crate) enum Received {
    /// A response head with status 200.
    ResponseHead,
    /// An object or an empty line of the response body.
    Item(StreamItem),
}

/// Whether an open connection may have more to read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// The connection waits for an event of its socket.
    Waiting,
    /// The connection stopped at the limit of bytes per turn, or was interrupted.
    HasMore,
}

pub(crate) struct WatchConnection {
    socket: Arc<TcpStream>,
    /// The address that the connection goes to.
    pub(crate) addr: SocketAddr,
    /// The version that the connection resumed from, or the last version received on it; `None` before the
    /// request is sent.
    pub(crate) version: Option<u64>,
    state: State,
    /// When the connection times out, unless the current step (connect, or part of the response head) has
    /// completed.
    step_deadline: Instant,
    /// Timeout for each further part of the response head.
    head_timeout: Duration,
    max_object_bytes: usize,
}

impl WatchConnection {
    /// Starts to connect; `registry` reports the socket's events with `token`.
    ///
    /// # Errors
    /// An error of the operating system, for example if the process has no file descriptors left.
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

    /// When the current step times out; `None` after the response head, from which on the state machine
    /// decides how long the connection may be silent.
    pub(crate) fn step_deadline(&self) -> Option<Instant> {
        (!matches!(self.state, State::Streaming(_))).then_some(self.step_deadline)
    }

    /// Handles a writable socket: if it was connecting, the attempt has completed, and the request is
    /// prepared. The request resumes from `version`.
    ///
    /// # Errors
    /// If the connection could not be established.
    pub(crate) fn on_writable(&mut self, version: u64) -> Result<(), ConnectionError> {
        if !matches!(self.state, State::Connecting) {
            return Ok(());
        }
        if let Some(error) = self.socket.take_error()? {
            return Err(error.into());
        }
        // `TCP_NODELAY` is set only on an established connection, as some operating systems reject it before.
        self.socket.set_nodelay(true)?;
        let addr = self.addr;
        let request = format!("GET /v1/servers?stream=1&index={version} HTTP/1.1\r\nHost: {addr}\r\n\r\n");
        self.version = Some(version);
        self.state = State::Requesting(request.into_bytes());
        self.step_deadline = Instant::now() + self.head_timeout;
        Ok(())
    }

    /// Writes and reads as much as possible without blocking, and appends the received parts to `received`.
    ///
    /// # Errors
    /// If the connection has ended. Parts received before are in `received` and have to be processed.
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
                    if has_complete_head(head) || head.len() > MAX_HEAD_BYTES {
                        self.state = self.begin_body()?;
                        received.push(Received::ResponseHead);
                    }
                }
                State::Streaming(stream) => {
                    let (body, splitter) = &mut **stream;
                    return read_items(body, splitter, received);
                }
            }
        }
    }

    /// Parses the complete response head, and returns the state for reading the body.
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

/// Reads the next part of a response head.
fn read_head(mut socket: &TcpStream, head: &mut Vec<u8>) -> Result<(), ConnectionError> {
    let mut bytes = [0; 1024];
    let count = socket.read(&mut bytes)?;
    if count == 0 {
        return Err(ConnectionError::Closed);
    }
    head.extend_from_slice(&bytes[..count]);
    Ok(())
}

fn has_complete_head(bytes: &[u8]) -> bool {
    bytes.windows(4).any(|four| four == b"\r\n\r\n")
}

/// Reads the body until no more data is available or the limit of bytes per turn is reached.
fn read_items(
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
        // Elements before the fault are still processed.
        received.extend(items.drain(..).map(Received::Item));
        split?;
    }
    Ok(Progress::HasMore)
}
