//! A router's connection to one of the store's nodes, and the selection of that node.
use crate::wire::{self, Request, Response};
use settings::fleet::Version;
use std::collections::{BTreeSet, HashMap};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use store::wire::WireError;
use thiserror::Error;

/// Timeout for connecting to a node and for its response to a report.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for receiving a whole document.
const DOCUMENT_TIMEOUT: Duration = Duration::from_secs(2);

/// Why an exchange of messages with a node failed.
#[derive(Debug, Error)]
pub(super) enum ExchangeError {
    #[error(transparent)]
    Wire(#[from] WireError),
    #[error("this node is not the leader")]
    NotLeader {
        /// The node that the responding node believes to be the leader.
        leader: u64,
    },
    #[error("this node has its maximum of {max_connections} connections")]
    Busy { max_connections: u64 },
    #[error("this node sent an unexpected response; run the same version of the program on both sides")]
    UnexpectedResponse,
}

impl From<io::Error> for ExchangeError {
    fn from(error: io::Error) -> ExchangeError {
        ExchangeError::Wire(error.into())
    }
}

/// The unparsed text of a document, as received.
pub(super) struct ReceivedDocument {
    pub(super) version: Version,
    pub(super) bytes: Vec<u8>,
}

/// The nodes that may be the leader, and a connection to one of them at a time.
pub(super) struct Connection {
    nodes: Vec<SocketAddr>,
    /// The index in `nodes` of each node that has sent its id, keyed by that id.
    index_by_id: HashMap<u64, usize>,
    current: usize,
    socket: Option<TcpStream>,
}

impl Connection {
    pub(super) fn new(nodes: Vec<SocketAddr>) -> Connection {
        Connection { nodes, index_by_id: HashMap::new(), current: 0, socket: None }
    }

    pub(super) fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// The address of the current node.
    pub(super) fn addr(&self) -> SocketAddr {
        self.nodes[self.current]
    }

    /// Returns the connection to the current node; connects if necessary.
    pub(super) fn open(&mut self) -> Result<&TcpStream, ExchangeError> {
        let socket = match self.socket.take() {
            Some(socket) => socket,
            None => self.connect()?,
        };
        Ok(self.socket.insert(socket))
    }

    fn connect(&mut self) -> Result<TcpStream, ExchangeError> {
        let socket = TcpStream::connect_timeout(&self.addr(), ATTEMPT_TIMEOUT)?;
        if socket.local_addr()? == socket.peer_addr()? {
            // If no process listens on a loopback port, a connection to that port may be connected to itself
            // and block the port for the node.
            socket2::SockRef::from(&socket).set_linger(Some(Duration::ZERO))?;
            return Err(WireError::WrongProtocol.into());
        }
        socket.set_nodelay(true)?;
        socket.set_write_timeout(Some(ATTEMPT_TIMEOUT))?;
        wire::send_hello(&socket)?;
        wire::receive_hello(&socket, ATTEMPT_TIMEOUT)?;
        match wire::receive(&socket, ATTEMPT_TIMEOUT, ATTEMPT_TIMEOUT)? {
            Response::Welcome { node } => _ = self.index_by_id.insert(node, self.current),
            Response::Busy { max_connections } => return Err(ExchangeError::Busy { max_connections }),
            _ => return Err(ExchangeError::UnexpectedResponse),
        }
        Ok(socket)
    }

    /// Sends a request and receives its response.
    pub(super) fn request(&mut self, request: &Request) -> Result<Response, ExchangeError> {
        let socket = self.open()?;
        wire::send(socket, request)?;
        Ok(wire::receive(socket, ATTEMPT_TIMEOUT, ATTEMPT_TIMEOUT)?)
    }

    /// Requests the document and receives all its parts.
    pub(super) fn fetch_document(&mut self) -> Result<ReceivedDocument, ExchangeError> {
        let socket = self.open()?;
        wire::send(socket, &Request::Document)?;
        let deadline = Instant::now() + DOCUMENT_TIMEOUT;
        let mut text = Vec::new();
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let Response::DocumentPart { version, bytes, is_last } =
                wire::receive(socket, remaining, remaining)?
            else {
                return Err(ExchangeError::UnexpectedResponse);
            };
            text.extend(bytes);
            if text.len() > settings::fleet::MAX_DOCUMENT_BYTES {
                return Err(ExchangeError::UnexpectedResponse);
            }
            if is_last {
                return Ok(ReceivedDocument { version, bytes: text });
            }
        }
    }

    /// Closes the connection after `error` and selects the node to try next: the leader that the last tried
    /// node named, otherwise the next node in order. `unresponsive` collects the nodes that failed in this
    /// round without naming a leader. Such nodes are not selected by name again, because other nodes may
    /// still consider one of them the leader.
    pub(super) fn fail_over(&mut self, error: &ExchangeError, unresponsive: &mut BTreeSet<usize>) {
        let next = (self.current + 1) % self.nodes.len();
        self.socket = None;
        let ExchangeError::NotLeader { leader } = error else {
            unresponsive.insert(self.current);
            self.current = next;
            return;
        };
        let named = self.index_by_id.get(leader).copied();
        self.current = named.filter(|i| *i != self.current && !unresponsive.contains(i)).unwrap_or(next);
    }
}
