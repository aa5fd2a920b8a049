//! The event loop of the servers and their links.
use super::connection::Connection;
use super::state::{ServersState, lock};
use super::statement::{RequestStatement, Statement};
use crate::environment::acceptor::Acceptor;
use crate::environment::clock::RunClock;
use crate::environment::link::{ArrivedMessage, LinkId};
use crate::environment::service_thread::StopSignal;
use crate::environment::socket::reset;
use crate::environment::wire::{
    encode_message, error_message, parameter_status, ready_for_query, row_response, tag,
};
use crate::history::{Attempt, Recorder};
use crate::time::{Micros, SECOND};
use mio::Events;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The maximum time between two checks of timers and shared state.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(3);
/// The maximum number of events per poll.
const MAX_EVENTS: usize = 512;
/// The interval at which a link that blocks requests is checked again.
const BLOCKED_LINK_CHECK_INTERVAL: Micros = 50_000;
/// The size of a message's tag and length field.
const HEADER_BYTES: usize = 5;
/// How many bytes of a valid row a server sends before [`GARBAGE`].
const GARBAGE_ROW_BYTES: usize = 40;
/// Bytes that are not a valid message.
const GARBAGE: &[u8] = b"\x15\x07 noise";

/// The `PostgreSQL` error code for a request that can't be parsed.
const PROTOCOL_VIOLATION: &str = "08P01";
/// The `PostgreSQL` error code for a write at a replica.
const READ_ONLY: &str = "25006";
/// The `PostgreSQL` error code for a server at its capacity.
const TOO_MANY_CONNECTIONS: &str = "53300";

/// An event that is due at a set time.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum TimerEvent {
    /// A request has finished executing.
    RequestDone {
        /// The token of the request's connection.
        token: usize,
        /// The index of the request's attempt in the history.
        attempt: usize,
    },
    /// A connection is checked for messages again.
    CheckMessages {
        /// The token of the connection that is checked.
        token: usize,
    },
}

/// The state of the servers' thread.
pub(super) struct EventLoop {
    state: Arc<Mutex<ServersState>>,
    acceptor: Acceptor<LinkId>,
    connections: HashMap<usize, Connection>,
    timers: BinaryHeap<Reverse<(Micros, TimerEvent)>>,
    clock: RunClock,
    recorder: Recorder,
}

impl EventLoop {
    pub(super) fn new(
        state: Arc<Mutex<ServersState>>,
        acceptor: Acceptor<LinkId>,
        clock: RunClock,
        recorder: Recorder,
    ) -> EventLoop {
        let (connections, timers) = (HashMap::new(), BinaryHeap::new());
        EventLoop { state, acceptor, connections, timers, clock, recorder }
    }

    pub(super) fn run(&mut self, stop: &StopSignal) {
        let mut events = Events::with_capacity(MAX_EVENTS);
        while !stop.is_set() {
            let timeout = self.poll_timeout();
            if self.acceptor.wait(&mut events, timeout).is_err() {
                continue;
            }
            let state = self.state.clone();
            let mut state = lock(&state);
            state.advance_replication(self.clock.now());
            self.reset_connections(&state);
            for event in &events {
                let token = event.token().0;
                if self.acceptor.is_listener(token) {
                    self.accept(token, &state);
                } else {
                    self.read(token, &mut state);
                }
            }
            self.handle_due_timers(&mut state);
            self.write_all(&state);
        }
    }

    fn poll_timeout(&self) -> Duration {
        let now = self.clock.now();
        let until_due = self.timers.peek().map_or(Micros::MAX, |Reverse((at, _))| (*at - now).max(0));
        Duration::from_micros(until_due as u64).min(MAX_POLL_INTERVAL)
    }

    /// Resets the connections of server processes that have crashed.
    fn reset_connections(&mut self, state: &ServersState) {
        self.connections.retain(|_, connection| {
            let has_crashed = state.servers[connection.link.server].has_crashed_since(connection.opened_at);
            if has_crashed {
                connection.reset();
            }
            !has_crashed
        });
    }

    fn accept(&mut self, listener: usize, state: &ServersState) {
        while let Some((link, mut stream)) = self.acceptor.accept(listener) {
            if !state.servers[link.server].alive {
                reset(&stream);
                continue;
            }
            _ = stream.set_nodelay(true);
            if let Ok(token) = self.acceptor.add_stream(&mut stream) {
                self.connections.insert(token, Connection::new(link, stream, self.clock.now()));
            }
        }
    }

    fn read(&mut self, token: usize, state: &mut ServersState) {
        let Some(mut connection) = self.connections.remove(&token) else { return };
        let now = self.clock.now();
        if connection.read(state, now) && self.take_messages(token, &mut connection, state) {
            self.connections.insert(token, connection);
        }
    }

    /// Processes the messages that have reached the server. Returns `false` if the connection is to be
    /// closed.
    fn take_messages(&mut self, token: usize, connection: &mut Connection, state: &mut ServersState) -> bool {
        let now = self.clock.now();
        if state.link_fault(connection.link).blocks_requests {
            self.timers
                .push(Reverse((now + BLOCKED_LINK_CHECK_INTERVAL, TimerEvent::CheckMessages { token })));
            return true;
        }
        if !connection.start(now) {
            return true;
        }
        while let Some(message) = connection.take_message(now) {
            if message.bytes[0] != tag::QUERY {
                return false;
            }
            self.handle_statement(token, &message, connection, state);
        }
        if let Some(at) = connection.next_available_at(now) {
            self.timers.push(Reverse((at, TimerEvent::CheckMessages { token })));
        }
        true
    }

    fn handle_statement(
        &mut self,
        token: usize,
        message: &ArrivedMessage,
        connection: &mut Connection,
        state: &mut ServersState,
    ) {
        let text = String::from_utf8_lossy(&message.bytes[HEADER_BYTES..]);
        match Statement::parse(text.trim_end_matches('\0')) {
            Statement::Empty => connection.send(&empty_query_response()),
            Statement::Stats => self.send_load_report(connection, state),
            Statement::WithoutId => connection.send(&error_response(PROTOCOL_VIOLATION)),
            Statement::Request(request) => {
                let attempt = self.record_attempt(&request, message, connection.link, state);
                self.handle_request(token, &request, attempt, connection, state);
            }
        }
    }

    fn send_load_report(&self, connection: &mut Connection, state: &ServersState) {
        let server = &state.servers[connection.link.server];
        if server.faults.hangs {
            return;
        }
        let position = self.clock.wall_clock_micros(server.position()) as f64 / SECOND as f64;
        let stats = format!("x0={position:.6},x1={},util=0.1,queue=0", u8::from(server.primary));
        connection.send(&[row_response(&stats), ready_for_query()].concat());
    }

    /// Records an attempt that has reached its server and returns its index in the history.
    fn record_attempt(
        &self,
        request: &RequestStatement,
        message: &ArrivedMessage,
        link: LinkId,
        state: &ServersState,
    ) -> usize {
        let now = self.clock.now();
        let server = &state.servers[link.server];
        let mut history = self.recorder.lock();
        history.attempts.push(Attempt {
            id: request.id,
            router: link.router,
            server: link.server,
            first_byte_at: message.first_byte_at,
            last_byte_at: message.last_byte_at,
            reached_at: Some(now),
            timeout_ms: request.timeout_ms,
            ran_at: None,
            position: server.position(),
            was_primary: server.was_primary(now),
        });
        history.attempts.len() - 1
    }

    /// Rejects a request or starts its execution. A server that hangs executes requests, too, but sends no
    /// responses.
    fn handle_request(
        &mut self,
        token: usize,
        request: &RequestStatement,
        attempt: usize,
        connection: &mut Connection,
        state: &mut ServersState,
    ) {
        let server = &mut state.servers[connection.link.server];
        let rejection = if request.is_write() && !server.primary {
            Some(
                [error_message(READ_ONLY), parameter_status("mode", "read-only"), ready_for_query()].concat(),
            )
        } else if server.has_capacity() {
            None
        } else {
            Some(error_response(TOO_MANY_CONNECTIONS))
        };
        match rejection {
            Some(_) if server.faults.hangs => {}
            Some(rejection) => connection.send(&rejection),
            None => {
                let done_at = server.begin_request(self.clock.now());
                self.timers.push(Reverse((done_at, TimerEvent::RequestDone { token, attempt })));
            }
        }
    }

    fn handle_due_timers(&mut self, state: &mut ServersState) {
        while self.timers.peek().is_some_and(|Reverse((at, _))| *at <= self.clock.now()) {
            let Some(Reverse((_, event))) = self.timers.pop() else { return };
            match event {
                TimerEvent::CheckMessages { token } => self.check_messages(token, state),
                TimerEvent::RequestDone { token, attempt } => self.finish_request(token, attempt, state),
            }
        }
    }

    fn check_messages(&mut self, token: usize, state: &mut ServersState) {
        let Some(mut connection) = self.connections.remove(&token) else { return };
        if self.take_messages(token, &mut connection, state) {
            self.connections.insert(token, connection);
        }
    }

    /// Finishes a request's execution and sends its response. The request has been executed whether or not
    /// the response arrives.
    fn finish_request(&mut self, token: usize, attempt: usize, state: &mut ServersState) {
        let Some(value) = self.run_request(token, attempt, state) else { return };
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let server = &state.servers[connection.link.server];
        let mode = if server.primary { "read-write" } else { "read-only" };
        // Replication positions of replicas are rounded down, commit times of the primary up.
        let position_ms = self.clock.wall_clock_ms(server.position()) + i64::from(server.primary);
        let parameters =
            [parameter_status("mode", mode), parameter_status("wal_time", &position_ms.to_string())].concat();
        let response = [row_response(&value), parameters, ready_for_query()].concat();
        if server.faults.sends_garbage {
            connection.send(&[&row_response("nobody's")[..GARBAGE_ROW_BYTES], GARBAGE].concat());
        } else if server.faults.resets_connections {
            connection.reset_mid_response(&response);
            self.connections.remove(&token);
        } else {
            connection.send(&response);
        }
    }

    /// Executes a request, unless its server process or its connection no longer exists. Returns the value
    /// for the response, unless the server hangs.
    fn run_request(&self, token: usize, index: usize, state: &mut ServersState) -> Option<String> {
        let now = self.clock.now();
        let mut history = self.recorder.lock();
        let attempt = &mut history.attempts[index];
        let server = &mut state.servers[attempt.server];
        server.end_request();
        // A server process that crashed after the request's arrival did not execute the request, and a server
        // cancels a request whose connection is closed.
        if !server.alive || attempt.reached_at.is_some_and(|at| server.has_crashed_since(at)) {
            return None;
        }
        if !self.connections.contains_key(&token) {
            return None;
        }
        attempt.ran_at = Some(now);
        attempt.position = server.position();
        let value = format!("{:x}.{}.{index}", attempt.id, attempt.server);
        (!server.faults.hangs).then_some(value)
    }

    fn write_all(&mut self, state: &ServersState) {
        let now = self.clock.now();
        self.connections.retain(|_, connection| {
            let fault = state.link_fault(connection.link);
            connection.write(&fault, now)
        });
    }
}

fn empty_query_response() -> Vec<u8> {
    [encode_message(tag::EMPTY_QUERY, &[]), ready_for_query()].concat()
}

fn error_response(code: &str) -> Vec<u8> {
    [error_message(code), ready_for_query()].concat()
}
