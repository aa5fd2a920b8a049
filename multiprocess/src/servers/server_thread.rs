//! The thread of one server: it accepts connections, runs statements, and sends each response after the
//! service time.
use super::shared::Shared;
use crate::history::{Server, Statement};
use crate::packet_io::{ConnectionState, read_available, take_packet, write_available};
use mio::event::Event;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::io::{self, ErrorKind};
use std::sync::Arc;
use std::time::{Duration, Instant};
use test_servers::wire::{
    COMMAND_QUERY, COMMAND_QUIT, ERROR_READ_ONLY, ERROR_SYNTAX, OK, SET_DEFAULTS, error, greeting, packets,
    row,
};

/// Token of the listener; the tokens of connections start at [`FIRST_CONNECTION`].
const LISTENER: Token = Token(0);
const FIRST_CONNECTION: usize = 1;
/// Maximum number of readiness events returned by one poll.
const EVENT_CAPACITY: usize = 256;
/// How often the thread checks whether it has to stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Sequence id of the response to a login, which follows the greeting (0) and the login (1).
const LOGIN_RESPONSE_SEQUENCE_ID: u8 = 2;
/// Sequence id of the first packet of a response to a command.
const COMMAND_RESPONSE_SEQUENCE_ID: u8 = 1;

struct Connection {
    stream: TcpStream,
    read_buffer: Vec<u8>,
    write_buffer: Vec<u8>,
    /// Whether the response to the client's login has been queued.
    logged_in: bool,
}

/// A response that is sent later, ordered by due time, then by connection.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct PendingResponse {
    due: Instant,
    connection: Token,
    bytes: Vec<u8>,
}

/// State of one server: its listener, connections and pending responses.
pub(super) struct ServerThread {
    index: usize,
    server: Server,
    listener: TcpListener,
    shared: Arc<Shared>,
    poll: Poll,
    connections: HashMap<Token, Connection>,
    next_token: usize,
    pending_responses: BinaryHeap<Reverse<PendingResponse>>,
}

impl ServerThread {
    pub(super) fn new(
        index: usize,
        server: Server,
        mut listener: TcpListener,
        shared: Arc<Shared>,
    ) -> io::Result<ServerThread> {
        let poll = Poll::new()?;
        poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
        Ok(ServerThread {
            index,
            server,
            listener,
            shared,
            poll,
            connections: HashMap::new(),
            next_token: FIRST_CONNECTION,
            pending_responses: BinaryHeap::new(),
        })
    }

    /// Runs the event loop until the servers are stopped.
    pub(super) fn run(mut self) {
        let mut events = Events::with_capacity(EVENT_CAPACITY);
        while !self.shared.is_stopped() {
            if let Err(e) = self.poll.poll(&mut events, Some(self.poll_timeout()))
                && e.kind() != ErrorKind::Interrupted
            {
                return;
            }
            for event in &events {
                if event.token() == LISTENER { self.accept() } else { self.handle_readiness(event) }
            }
            self.send_due_responses();
        }
    }

    /// Returns the time until the next response is due, at most [`STOP_CHECK_INTERVAL`].
    fn poll_timeout(&self) -> Duration {
        let now = Instant::now();
        let next = self.pending_responses.peek();
        let wait =
            next.map_or(STOP_CHECK_INTERVAL, |Reverse(response)| response.due.saturating_duration_since(now));
        wait.min(STOP_CHECK_INTERVAL)
    }

    fn accept(&mut self) {
        while let Ok((mut stream, _)) = self.listener.accept() {
            let token = Token(self.next_token);
            self.next_token += 1;
            _ = stream.set_nodelay(true);
            let interest = Interest::READABLE | Interest::WRITABLE;
            if self.poll.registry().register(&mut stream, token, interest).is_err() {
                continue;
            }
            let mut write_buffer = greeting();
            if write_available(&mut stream, &mut write_buffer) == ConnectionState::Open {
                let read_buffer = Vec::new();
                let connection = Connection { stream, read_buffer, write_buffer, logged_in: false };
                self.connections.insert(token, connection);
            }
        }
    }

    /// Reads commands from a connection and writes queued responses; drops the connection if it has been
    /// closed.
    fn handle_readiness(&mut self, event: &Event) {
        let token = event.token();
        let Some(mut connection) = self.connections.remove(&token) else { return };
        let state = read_available(&mut connection.stream, &mut connection.read_buffer);
        while let Some(packet) = take_packet(&mut connection.read_buffer) {
            if !std::mem::replace(&mut connection.logged_in, true) {
                connection.write_buffer.extend(packets(LOGIN_RESPONSE_SEQUENCE_ID, &[OK]));
                continue;
            }
            match packet.split_first() {
                Some((&COMMAND_QUERY, sql)) => {
                    self.run_statement(&mut connection, token, &String::from_utf8_lossy(sql));
                }
                Some((&COMMAND_QUIT, _)) | None => return,
                _ => connection.write_buffer.extend(packets(COMMAND_RESPONSE_SEQUENCE_ID, &[OK])),
            }
        }
        if state == ConnectionState::Open
            && write_available(&mut connection.stream, &mut connection.write_buffer) == ConnectionState::Open
        {
            self.connections.insert(token, connection);
        }
    }

    /// Responds to a probe or an invalid statement immediately. Runs and records any other statement, and
    /// queues its response.
    fn run_statement(&mut self, connection: &mut Connection, token: Token, sql: &str) {
        if sql.starts_with("SELECT probe") {
            return connection.write_buffer.extend(self.probe_response());
        }
        if sql == SET_DEFAULTS {
            return connection.write_buffer.extend(packets(COMMAND_RESPONSE_SEQUENCE_ID, &[OK]));
        }
        let write = !sql.starts_with("SELECT");
        let Some(id) = sql.split('\'').nth(1).and_then(|id| id.parse().ok()) else {
            return connection.write_buffer.extend(error(ERROR_SYNTAX, "not known here"));
        };
        if write && !self.server.primary {
            return connection.write_buffer.extend(error(ERROR_READ_ONLY, "read-only"));
        }
        let at = self.shared.now();
        let tenant = self.shared.tenant_index(parse_tenant(sql));
        self.shared.record(Statement { id, at, server: self.index, tenant, write });
        let bytes = if write {
            packets(COMMAND_RESPONSE_SEQUENCE_ID, &[OK])
        } else {
            row(&[&id.to_string(), &self.server.name])
        };
        let due = Instant::now() + self.shared.service_time;
        self.pending_responses.push(Reverse(PendingResponse { due, connection: token, bytes }));
    }

    /// Returns the probe's row: the read-only flag, and the replication heartbeat as Unix time in
    /// milliseconds.
    fn probe_response(&self) -> Vec<u8> {
        let read_only = if self.server.primary { "0" } else { "1" };
        let heartbeat = (test_servers::replication_group::unix_micros() / 1000).to_string();
        row(&[read_only, &heartbeat])
    }

    fn send_due_responses(&mut self) {
        let now = Instant::now();
        while self.pending_responses.peek().is_some_and(|Reverse(response)| response.due <= now) {
            let Some(Reverse(response)) = self.pending_responses.pop() else { break };
            let Some(connection) = self.connections.get_mut(&response.connection) else { continue };
            connection.write_buffer.extend(response.bytes);
            if write_available(&mut connection.stream, &mut connection.write_buffer)
                == ConnectionState::Closed
            {
                self.connections.remove(&response.connection);
            }
        }
    }
}

/// Returns the tenant named in a statement's comment; empty if there is none.
fn parse_tenant(sql: &str) -> &str {
    sql.split("t=").nth(1).and_then(|rest| rest.split([',', ' ', '*']).next()).unwrap_or("")
}
