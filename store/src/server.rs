//! Serves store clients, with one thread per connection up to a limit. A connection that starts a watch is
//! used for nothing else.
mod watch;

use crate::acceptor;
use crate::command::{Operation, RequestOrigin};
use crate::error::Error;
use crate::node::{CommittedWrite, ConfirmedRead, Store};
use crate::rejection::Rejection;
use crate::state::{State, Value};
use crate::wire::{self, Consistency, PART_BYTES, ReadHeader, Request, Response, STORE_PROTOCOL, WireError};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// Limits on client connections.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of open connections, and so of threads. Each watch takes one connection.
    pub max_connections: u64,
    /// Time without a request after which a connection is closed; the client then reconnects.
    pub idle_timeout: Duration,
    /// Time within which a message must be received completely, and a response be accepted by the client.
    pub message_timeout: Duration,
    /// Interval at which a watch without changes gets progress messages.
    pub progress_interval: Duration,
    /// Time without a known leader after which a watch ends.
    pub no_leader_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_connections: 1024,
            idle_timeout: Duration::from_mins(1),
            message_timeout: Duration::from_secs(2),
            progress_interval: Duration::from_millis(500),
            no_leader_timeout: Duration::from_millis(1500),
        }
    }
}

/// Serves clients until the listener fails.
///
/// # Errors
/// [`Error::NotLoopback`] if the listener is not on a loopback address, [`Error::SpawnThread`] if no thread
/// can be started.
pub fn listen(listener: TcpListener, store: Store, limits: Limits) -> Result<(), Error> {
    let addr = listener.local_addr()?;
    if !addr.ip().is_loopback() {
        return Err(Error::NotLoopback { addr });
    }
    let max_connections = limits.max_connections;
    let reject = move |socket: &TcpStream| {
        _ = wire::send_hello(socket, STORE_PROTOCOL);
        _ = wire::send(socket, &Response::Busy { max_connections });
    };
    let serve = move |socket: &TcpStream| Connection { socket, store: &store, limits: &limits }.serve();
    acceptor::accept(listener, "store", max_connections, reject, serve).map_err(Error::SpawnThread)
}

/// A client's connection to this node.
struct Connection<'a> {
    socket: &'a TcpStream,
    store: &'a Store,
    limits: &'a Limits,
}

impl Connection<'_> {
    fn serve(&self) -> Result<(), WireError> {
        let Limits { idle_timeout, message_timeout, .. } = *self.limits;
        self.socket.set_nodelay(true)?;
        self.socket.set_write_timeout(Some(message_timeout))?;
        // The server sends its hello before it checks the client's, so that a client of another version can
        // report both versions.
        wire::send_hello(self.socket, STORE_PROTOCOL)?;
        wire::receive_hello(self.socket, STORE_PROTOCOL, message_timeout)?;
        self.send(&Response::Welcome { node: self.store.status().node })?;
        loop {
            match wire::receive(self.socket, idle_timeout, message_timeout)? {
                Request::Watch { prefix, after } => return self.watch(&prefix, after),
                Request::List { prefix, consistency } => self.list(&prefix, consistency)?,
                Request::Get { key, consistency } => self.send(&self.get(&key, consistency))?,
                Request::RegisterClient => self.send(&to_write_response(self.store.register_client()))?,
                Request::Write { origin, operation } => self.send(&self.write(origin, operation))?,
                Request::Status => self.send(&self.status())?,
            }
        }
    }

    fn send(&self, response: &Response) -> Result<(), WireError> {
        wire::send(self.socket, response)
    }

    fn get(&self, key: &str, consistency: Consistency) -> Response {
        match self.read(consistency) {
            Ok((header, state)) => Response::Value { header, value: state.get(key).cloned() },
            Err(rejection) => Response::Rejected(rejection),
        }
    }

    fn list(&self, prefix: &str, consistency: Consistency) -> Result<(), WireError> {
        match self.read(consistency) {
            Ok((header, state)) => send_in_parts(&state, prefix, |entries, last| {
                self.send(&Response::Keys { header, entries, last })
            }),
            Err(rejection) => self.send(&Response::Rejected(rejection)),
        }
    }

    fn read(&self, consistency: Consistency) -> Result<(ReadHeader, State), Rejection> {
        let ConfirmedRead { state, term } = match consistency {
            Consistency::Linearizable => self.store.read()?,
            Consistency::Local => {
                ConfirmedRead { state: self.store.state(), term: self.store.known_leader().term }
            }
        };
        Ok((ReadHeader { consistency, revision: state.revision, term }, state))
    }

    fn write(&self, origin: RequestOrigin, operation: Operation) -> Response {
        to_write_response(self.store.write(origin, operation))
    }

    fn status(&self) -> Response {
        let status = self.store.status();
        Response::Status {
            node: status.node,
            leader: status.leader.unwrap_or(raft::INVALID_ID),
            term: status.term,
            revision: self.store.state().revision,
        }
    }
}

fn to_write_response(result: Result<CommittedWrite, Rejection>) -> Response {
    match result {
        Ok(CommittedWrite { response, term }) => Response::Written { response, term },
        Err(rejection) => Response::Rejected(rejection),
    }
}

/// Sends the keys with a prefix in parts of limited length. There is always a last part, which may be empty.
fn send_in_parts(
    state: &State,
    prefix: &str,
    mut send_part: impl FnMut(Vec<(String, Value)>, bool) -> Result<(), WireError>,
) -> Result<(), WireError> {
    let mut entries = Vec::new();
    let mut bytes = 0;
    for (key, value) in state.with_prefix(prefix) {
        if bytes > PART_BYTES {
            send_part(std::mem::take(&mut entries), false)?;
            bytes = 0;
        }
        bytes += key.len() + value.text.len();
        entries.push((key.to_string(), value.clone()));
    }
    send_part(entries, true)
}
