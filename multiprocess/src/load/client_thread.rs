//! A thread that generates load. Thread `i` of `n` has the clients of every router whose index modulo `n` is
//! `i`.
use super::client_protocol::{ERROR_REJECTED, Response, encode_login, encode_query, parse_response};
use super::connection::{Connection, InFlight, State};
use super::result::LoadResult;
use super::router_ports::RouterPorts;
use super::schedule::ScheduledRequest;
use crate::history::{Micros, Outcome, Request, UnexpectedResponse};
use crate::packet_io::{ConnectionState, read_available, take_packet, write_available};
use crate::plan::Plan;
use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Token};
use std::collections::VecDeque;
use std::io;
use std::time::{Duration, Instant};
use test_servers::wire::{ERROR_HEADER, GREETING_HEADER, OK_HEADER};

/// Response timeout of a client; it exceeds the deadline of every class.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(3500);
/// Maximum time that a request waits for a free connection.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time between two checks of all connections.
const MAX_POLL_TIMEOUT: Duration = Duration::from_millis(10);
const EVENT_CAPACITY: usize = 256;

pub(super) struct ClientThread {
    ports: RouterPorts,
    run_start: Instant,
    load_start: Instant,
    /// Requests that are not due yet, in order of time.
    schedule: VecDeque<ScheduledRequest>,
    thread_count: usize,
    /// Due requests that wait for a free connection, by router.
    queues: Vec<VecDeque<ScheduledRequest>>,
    /// Client connections, `connections_per_router` for each router, in router order.
    connections: Vec<Connection>,
    connections_per_router: usize,
    poll: Poll,
    result: LoadResult,
}

impl ClientThread {
    pub(super) fn new(
        plan: &Plan,
        index: usize,
        schedule: VecDeque<ScheduledRequest>,
        ports: RouterPorts,
        run_start: Instant,
        load_start: Instant,
    ) -> io::Result<ClientThread> {
        let routers: Vec<usize> = (index..plan.routers).step_by(plan.load_threads).collect();
        let of_router = |router: &usize| std::iter::repeat_n(*router, plan.connections);
        Ok(ClientThread {
            ports,
            run_start,
            load_start,
            schedule,
            thread_count: plan.load_threads,
            queues: vec![VecDeque::new(); routers.len()],
            connections: routers.iter().flat_map(of_router).map(Connection::new).collect(),
            connections_per_router: plan.connections,
            poll: Poll::new()?,
            result: LoadResult::default(),
        })
    }

    /// Sends each request at its scheduled time, and returns when every request has an outcome.
    pub(super) fn run(mut self) -> io::Result<LoadResult> {
        let mut events = Events::with_capacity(EVENT_CAPACITY);
        loop {
            let now = Instant::now();
            self.queue_due_requests(now);
            self.maintain_connections(now);
            self.expire_queued_requests(now);
            if self.is_finished() {
                return Ok(self.result);
            }
            match self.poll.poll(&mut events, Some(self.poll_timeout(now))) {
                Err(e) if e.kind() != io::ErrorKind::Interrupted => return Err(e),
                _ => {}
            }
            for event in &events {
                self.handle_readiness(event.token().0);
            }
        }
    }

    fn queue_due_requests(&mut self, now: Instant) {
        while self.schedule.front().is_some_and(|request| self.load_start + request.at <= now) {
            let Some(request) = self.schedule.pop_front() else { break };
            self.queues[request.router / self.thread_count].push_back(request);
        }
    }

    fn is_finished(&self) -> bool {
        let busy = self.connections.iter().any(|connection| matches!(connection.state, State::Busy(_)));
        self.schedule.is_empty() && !busy && self.queues.iter().all(VecDeque::is_empty)
    }

    fn poll_timeout(&self, now: Instant) -> Duration {
        let next = self.schedule.front();
        let wait = next.map_or(MAX_POLL_TIMEOUT, |r| (self.load_start + r.at).saturating_duration_since(now));
        wait.min(MAX_POLL_TIMEOUT)
    }

    /// Times out requests in flight, reconnects, and sends queued requests over idle connections.
    fn maintain_connections(&mut self, now: Instant) {
        for index in 0..self.connections.len() {
            let state = &self.connections[index].state;
            if matches!(state, State::Busy(in_flight) if now > in_flight.sent + RESPONSE_TIMEOUT) {
                self.close(index, Outcome::Unanswered);
            }
            if self.connections[index].is_connect_due(now) {
                self.connect(index, now);
            }
            self.send_next(index, now);
        }
    }

    fn expire_queued_requests(&mut self, now: Instant) {
        let load_start = self.load_start;
        let expired = |request: &ScheduledRequest| load_start + request.at + QUEUE_TIMEOUT < now;
        for queue in 0..self.queues.len() {
            while self.queues[queue].front().is_some_and(expired) {
                if let Some(request) = self.queues[queue].pop_front() {
                    self.record(&request, None, Outcome::Unsent, 0);
                }
            }
        }
    }

    fn connect(&mut self, index: usize, now: Instant) {
        let connection = &mut self.connections[index];
        connection.delay_reconnect(now);
        let Some(address) = self.ports.address(connection.router) else { return };
        let Ok(mut stream) = TcpStream::connect(address) else { return };
        let interest = Interest::READABLE | Interest::WRITABLE;
        if self.poll.registry().register(&mut stream, Token(index), interest).is_ok() {
            connection.open(stream);
        }
    }

    /// Sends the router's next queued request if the connection is idle.
    fn send_next(&mut self, index: usize, now: Instant) {
        if !matches!(self.connections[index].state, State::Idle) {
            return;
        }
        let queue = &mut self.queues[index / self.connections_per_router];
        let Some(request) = queue.pop_front() else { return };
        let connection = &mut self.connections[index];
        connection.write_buffer.extend(encode_query(&request.sql));
        connection.state = State::Busy(InFlight { request, sent: now });
        if self.write(index) == ConnectionState::Closed {
            self.close(index, Outcome::Lost);
        }
    }

    fn write(&mut self, index: usize) -> ConnectionState {
        let connection = &mut self.connections[index];
        match connection.stream.as_mut() {
            None => ConnectionState::Closed,
            Some(stream) => write_available(stream, &mut connection.write_buffer),
        }
    }

    /// Closes a connection and records the outcome of its request in flight.
    fn close(&mut self, index: usize, outcome: Outcome) {
        if let Some(InFlight { request, sent }) = self.connections[index].close() {
            self.record(&request, Some(sent), outcome, 0);
        }
    }

    /// Reads and writes until a connection would block, and handles complete packets.
    fn handle_readiness(&mut self, index: usize) {
        let connection = &mut self.connections[index];
        let Some(stream) = connection.stream.as_mut() else { return };
        // A failed connection attempt is reported by the first read.
        let read = read_available(stream, &mut connection.read_buffer);
        while let Some(packet) = take_packet(&mut self.connections[index].read_buffer) {
            if self.handle_packet(index, packet) == ConnectionState::Closed {
                return self.close(index, Outcome::Lost);
            }
        }
        let written = self.write(index);
        if read == ConnectionState::Closed || written == ConnectionState::Closed {
            return self.close(index, Outcome::Lost);
        }
        self.send_next(index, Instant::now());
    }

    /// Handles a packet; returns `Closed` if the connection is no longer usable.
    fn handle_packet(&mut self, index: usize, packet: Vec<u8>) -> ConnectionState {
        let connection = &mut self.connections[index];
        match &connection.state {
            State::AwaitingGreeting => {
                if packet.first() != Some(&GREETING_HEADER) {
                    return ConnectionState::Closed;
                }
                connection.write_buffer.extend(encode_login());
                connection.state = State::AwaitingLogin;
            }
            State::AwaitingLogin => {
                if packet.first() != Some(&OK_HEADER) {
                    return ConnectionState::Closed;
                }
                connection.state = State::Idle;
            }
            State::Busy(_) => {
                connection.response_packets.push(packet);
                if let Some(response) = parse_response(&connection.response_packets) {
                    self.finish_request(index, response);
                }
            }
            State::Idle | State::Disconnected => {
                // The router may send an error before it closes a connection.
                if packet.first() == Some(&ERROR_HEADER) {
                    return ConnectionState::Closed;
                }
                let router = connection.router;
                self.record_unexpected_response(router);
            }
        }
        ConnectionState::Open
    }

    /// Records the outcome of a connection's request in flight from the response.
    fn finish_request(&mut self, index: usize, response: Response) {
        let connection = &mut self.connections[index];
        connection.response_packets.clear();
        let State::Busy(InFlight { request, sent }) = std::mem::replace(&mut connection.state, State::Idle)
        else {
            return;
        };
        let outcome = match response.code {
            0 => Outcome::Served,
            ERROR_REJECTED => Outcome::Rejected,
            _ => Outcome::Failed,
        };
        if outcome == Outcome::Served && !request.write && response.id != Some(request.id) {
            self.record_unexpected_response(request.router);
        }
        self.record(&request, Some(sent), outcome, response.code);
    }

    fn micros(&self, at: Instant) -> Micros {
        at.saturating_duration_since(self.run_start).as_micros() as Micros
    }

    fn record(&mut self, request: &ScheduledRequest, sent: Option<Instant>, outcome: Outcome, code: u16) {
        let ended = self.micros(Instant::now());
        self.result.requests.push(Request {
            id: request.id,
            due: self.micros(self.load_start + request.at),
            sent: sent.map(|at| self.micros(at)),
            ended,
            router: request.router,
            tenant: request.tenant,
            write: request.write,
            outcome,
            code,
        });
    }

    fn record_unexpected_response(&mut self, router: usize) {
        let at = self.micros(Instant::now());
        self.result.unexpected_responses.push(UnexpectedResponse { router, at });
    }
}
