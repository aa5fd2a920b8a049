//! One thread of the load: the clients of the routers whose index leaves the thread's own when divided by the number of
//! threads.
use super::client_protocol::{Answer, ERROR_REJECTED, login, parse_answer, query};
use super::connection::{Connection, InFlight, State};
use super::result::LoadResult;
use super::router_ports::RouterPorts;
use super::schedule::ScheduledRequest;
use crate::history::{Micros, Outcome, Request, UnexpectedAnswer};
use crate::packet_io::{ConnectionState, read_available, take_packet, write_available};
use crate::plan::Plan;
use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Token};
use std::collections::VecDeque;
use std::io;
use std::time::{Duration, Instant};
use test_servers::wire::{ERROR_HEADER, GREETING_HEADER, OK_HEADER};

/// How long a client waits for an answer: longer than the deadline of every class.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(3500);
/// How long a request waits for a free connection.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest time between two looks at all connections.
const MAX_POLL_TIMEOUT: Duration = Duration::from_millis(10);
const EVENT_CAPACITY: usize = 256;

pub(super) struct ClientThread {
    ports: RouterPorts,
    epoch: Instant,
    begin: Instant,
    /// Requests that are not due yet.
    schedule: VecDeque<ScheduledRequest>,
    thread_count: usize,
    /// Requests that wait for a connection, by router.
    queues: Vec<VecDeque<ScheduledRequest>>,
    /// `connections_per_router` for each router, in the order of routers.
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
        epoch: Instant,
        begin: Instant,
    ) -> io::Result<ClientThread> {
        let routers: Vec<usize> = (index..plan.routers).step_by(plan.load_threads).collect();
        let of_router = |router: &usize| std::iter::repeat_n(*router, plan.connections);
        Ok(ClientThread {
            ports,
            epoch,
            begin,
            schedule,
            thread_count: plan.load_threads,
            queues: vec![VecDeque::new(); routers.len()],
            connections: routers.iter().flat_map(of_router).map(Connection::new).collect(),
            connections_per_router: plan.connections,
            poll: Poll::new()?,
            result: LoadResult::default(),
        })
    }

    /// Sends the requests at their times, until each has ended.
    pub(super) fn run(mut self) -> io::Result<LoadResult> {
        let mut events = Events::with_capacity(EVENT_CAPACITY);
        loop {
            let now = Instant::now();
            self.queue_due_requests(now);
            self.maintain_connections(now);
            self.give_up_queued_requests(now);
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
        while self.schedule.front().is_some_and(|request| self.begin + request.at <= now) {
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
        let wait = next.map_or(MAX_POLL_TIMEOUT, |r| (self.begin + r.at).saturating_duration_since(now));
        wait.min(MAX_POLL_TIMEOUT)
    }

    /// Ends requests without an answer, connects, and sends what waits for an idle connection.
    fn maintain_connections(&mut self, now: Instant) {
        for index in 0..self.connections.len() {
            let state = &self.connections[index].state;
            if matches!(state, State::Busy(in_flight) if now > in_flight.sent + ANSWER_TIMEOUT) {
                self.close(index, Outcome::Unanswered);
            }
            if self.connections[index].is_connect_due(now) {
                self.connect(index, now);
            }
            self.send_next(index, now);
        }
    }

    fn give_up_queued_requests(&mut self, now: Instant) {
        let begin = self.begin;
        let expired = |request: &ScheduledRequest| begin + request.at + CONNECTION_TIMEOUT < now;
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

    /// Sends the router's next request where the connection is idle.
    fn send_next(&mut self, index: usize, now: Instant) {
        if !matches!(self.connections[index].state, State::Idle) {
            return;
        }
        let queue = &mut self.queues[index / self.connections_per_router];
        let Some(request) = queue.pop_front() else { return };
        let connection = &mut self.connections[index];
        connection.write_buffer.extend(query(&request.sql));
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

    /// Closes a connection; the request in flight on it ends with this outcome.
    fn close(&mut self, index: usize, outcome: Outcome) {
        if let Some(InFlight { request, sent }) = self.connections[index].close() {
            self.record(&request, Some(sent), outcome, 0);
        }
    }

    /// Reads and writes what a connection is ready for.
    fn handle_readiness(&mut self, index: usize) {
        let connection = &mut self.connections[index];
        let Some(stream) = connection.stream.as_mut() else { return };
        // A refused connection is noticed at the first read.
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

    /// Handles one packet; `Closed` where the connection can't be used any longer.
    fn handle_packet(&mut self, index: usize, packet: Vec<u8>) -> ConnectionState {
        let connection = &mut self.connections[index];
        match &connection.state {
            State::AwaitingGreeting => {
                if packet.first() != Some(&GREETING_HEADER) {
                    return ConnectionState::Closed;
                }
                connection.write_buffer.extend(login());
                connection.state = State::AwaitingLogin;
            }
            State::AwaitingLogin => {
                if packet.first() != Some(&OK_HEADER) {
                    return ConnectionState::Closed;
                }
                connection.state = State::Idle;
            }
            State::Busy(_) => {
                connection.answer.push(packet);
                if let Some(answer) = parse_answer(&connection.answer) {
                    self.finish_request(index, answer);
                }
            }
            State::Idle | State::Disconnected => {
                // A server that closes a connection may send an error first.
                if packet.first() == Some(&ERROR_HEADER) {
                    return ConnectionState::Closed;
                }
                let router = connection.router;
                self.record_unexpected_answer(router);
            }
        }
        ConnectionState::Open
    }

    /// Ends the request in flight on a connection with its answer.
    fn finish_request(&mut self, index: usize, answer: Answer) {
        let connection = &mut self.connections[index];
        connection.answer.clear();
        let State::Busy(InFlight { request, sent }) = std::mem::replace(&mut connection.state, State::Idle)
        else {
            return;
        };
        let outcome = match answer.code {
            0 => Outcome::Served,
            ERROR_REJECTED => Outcome::Rejected,
            _ => Outcome::Failed,
        };
        if outcome == Outcome::Served && !request.write && answer.id != Some(request.id) {
            self.record_unexpected_answer(request.router);
        }
        self.record(&request, Some(sent), outcome, answer.code);
    }

    fn micros(&self, at: Instant) -> Micros {
        at.saturating_duration_since(self.epoch).as_micros() as Micros
    }

    fn record(&mut self, request: &ScheduledRequest, sent: Option<Instant>, outcome: Outcome, code: u16) {
        let ended = self.micros(Instant::now());
        self.result.requests.push(Request {
            id: request.id,
            due: self.micros(self.begin + request.at),
            sent: sent.map(|at| self.micros(at)),
            ended,
            router: request.router,
            tenant: request.tenant,
            write: request.write,
            outcome,
            code,
        });
    }

    fn record_unexpected_answer(&mut self, router: usize) {
        let at = self.micros(Instant::now());
        self.result.unexpected_answers.push(UnexpectedAnswer { router, at });
    }
}
