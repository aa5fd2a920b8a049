//! The event loop of the client thread.
use super::commits::SessionCommits;
use super::connection::Connection;
use super::requests::DrawnRequest;
use super::settings::{ClientFaults, ClientSettings, PROBABILITY_SCALE};
use crate::class::Class;
use crate::environment::acceptor::Poller;
use crate::environment::clock::RunClock;
use crate::environment::service_thread::StopSignal;
use crate::environment::wire::cancel_request;
use crate::history::Recorder;
use crate::time::{MILLISECOND, Micros, SECOND};
use fastrand::Rng;
use mio::Events;
use mio::net::TcpStream;
use std::collections::HashMap;
use std::io::{self, Write};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The maximum time between two checks of timers and shared state.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// The maximum number of events per poll.
const MAX_EVENTS: usize = 512;
/// Makes the clients' random numbers differ from those of the faults, which use the same seed.
const SEED_MASK: u64 = 0xc11e_4775;
/// How long a client stalls before it closes its connection itself.
const STALL_LIMIT: Micros = 6 * SECOND;
/// The timeout of a connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// The timeout of the connect for a cancel request.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(50);
/// How long a client waits after a failed connect or an abandoned connection before it connects again.
const RECONNECT_DELAY: Micros = 100 * MILLISECOND;
/// The maximum delay of the first request, for clients that do not send it with the startup message.
const MAX_FIRST_DELAY: Micros = 20 * MILLISECOND;
/// The first session number of a flood's clients.
const FLOOD_SESSIONS: u64 = 10_000;

/// The state shared by the client thread and its handle.
#[derive(Clone, Default)]
pub(super) struct SharedState {
    faults: Arc<Mutex<ClientFaults>>,
    load_ended: Arc<AtomicBool>,
    pending: Arc<AtomicU64>,
}

impl SharedState {
    fn lock_faults(&self) -> MutexGuard<'_, ClientFaults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn faults(&self) -> ClientFaults {
        *self.lock_faults()
    }

    pub(super) fn change_faults(&self, change: impl FnOnce(&mut ClientFaults)) {
        change(&mut self.lock_faults());
    }

    pub(super) fn end_load(&self) {
        self.load_ended.store(true, Ordering::Relaxed);
    }

    fn has_load_ended(&self) -> bool {
        self.load_ended.load(Ordering::Relaxed)
    }

    fn set_pending_requests(&self, count: u64) {
        self.pending.store(count, Ordering::Relaxed);
    }

    pub(super) fn pending_requests(&self) -> u64 {
        self.pending.load(Ordering::Relaxed)
    }
}

/// How long a client sends requests.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Lifetime {
    /// The client sends requests until the load ends.
    WholeLoad,
    /// The client sends one request, closes its connection, and never connects again.
    OneRequest,
}

struct Client {
    connection: Option<Connection>,
    next_action_at: Micros,
    /// The number of the client's session.
    session: u64,
    lifetime: Lifetime,
    /// The router that the client connects to next.
    router: usize,
}

/// The state of the client thread.
pub(super) struct EventLoop {
    settings: ClientSettings,
    poller: Poller,
    rng: Rng,
    clock: RunClock,
    recorder: Recorder,
    shared: SharedState,
    clients: Vec<Client>,
    /// The index of each client, by the token of its connection.
    clients_by_token: HashMap<usize, usize>,
    connections_opened: u64,
    /// The size of the current flood, whose clients have been added.
    current_flood: usize,
    commits: SessionCommits,
}

impl EventLoop {
    pub(super) fn new(
        settings: ClientSettings,
        clock: RunClock,
        recorder: Recorder,
        shared: SharedState,
    ) -> io::Result<EventLoop> {
        Ok(EventLoop {
            poller: Poller::new()?,
            rng: Rng::with_seed(settings.seed ^ SEED_MASK),
            settings,
            clock,
            recorder,
            shared,
            clients: Vec::new(),
            clients_by_token: HashMap::new(),
            connections_opened: 0,
            current_flood: 0,
            commits: SessionCommits::default(),
        })
    }

    pub(super) fn run(&mut self, stop: &StopSignal) {
        self.add_clients();
        let mut events = Events::with_capacity(MAX_EVENTS);
        while !stop.is_set() {
            if self.poller.wait(&mut events, MAX_POLL_INTERVAL).is_err() {
                continue;
            }
            for event in &events {
                if let Some(client) = self.clients_by_token.get(&event.token().0).copied() {
                    self.transfer(client);
                }
            }
            let faults = self.shared.faults();
            self.start_flood(faults);
            for client in 0..self.clients.len() {
                self.advance(client, faults);
            }
            self.count_pending();
        }
    }

    fn add_clients(&mut self) {
        for session in 0..self.settings.clients as u64 {
            let next_action_at = self.clock.now() + self.rng.i64(0..self.settings.think_time.max(1));
            let router = session as usize % self.settings.routers.len();
            let lifetime = Lifetime::WholeLoad;
            self.clients.push(Client { connection: None, next_action_at, session, lifetime, router });
        }
    }

    fn count_pending(&self) {
        let connections = self.clients.iter().filter_map(|client| client.connection.as_ref());
        let pending: usize = connections.map(Connection::pending_requests).sum();
        self.shared.set_pending_requests(pending as u64);
    }

    /// Adds the clients of a flood, each of which sends one request.
    fn start_flood(&mut self, faults: ClientFaults) {
        if faults.flood == self.current_flood {
            return;
        }
        self.current_flood = faults.flood;
        for _ in 0..faults.flood {
            let session = FLOOD_SESSIONS + self.clients.len() as u64;
            let router = self.draw_router();
            let (next_action_at, lifetime) = (self.clock.now(), Lifetime::OneRequest);
            self.clients.push(Client { connection: None, next_action_at, session, lifetime, router });
        }
    }

    fn draw_router(&mut self) -> usize {
        self.rng.usize(..self.settings.routers.len())
    }

    fn draw_pause(&mut self) -> Micros {
        self.rng.i64(0..2 * self.settings.think_time.max(1))
    }

    fn advance(&mut self, client: usize, faults: ClientFaults) {
        let now = self.clock.now();
        let load_ended = self.shared.has_load_ended();
        self.perform_due_action(client, now);
        let state = &self.clients[client];
        if load_ended || now < state.next_action_at {
            return;
        }
        let is_done = |connection: &Connection| connection.has_sent() && connection.pending_requests() == 0;
        match &state.connection {
            None => self.connect(client),
            Some(connection) if state.lifetime == Lifetime::OneRequest && is_done(connection) => {
                self.close(client);
            }
            Some(connection) if connection.is_stalled() || connection.pending_requests() > 0 => {}
            Some(_) => self.send(client, faults),
        }
    }

    /// Performs a client's action that is due: closes a stalled connection, cancels a request, disconnects,
    /// or abandons the connection.
    fn perform_due_action(&mut self, client: usize, now: Micros) {
        let Some(connection) = &mut self.clients[client].connection else { return };
        if connection.is_stalled_longer_than(STALL_LIMIT, now) {
            return self.close(client);
        }
        let Some(first) = connection.first_pending() else { return };
        if first.cancel_at.is_some_and(|at| now >= at) {
            first.cancel_at = None;
            let index = first.index;
            return self.cancel(client, index, now);
        }
        if first.disconnect_at.is_some_and(|at| now >= at) {
            return self.disconnect(client, now);
        }
        if now > first.abandon_at {
            self.abandon_connection(client, now);
        }
    }

    /// Cancels the requests of a client's connection, if the router has sent its backend key.
    fn cancel(&self, client: usize, index: usize, now: Micros) {
        let Some(connection) = &self.clients[client].connection else { return };
        let Some(key) = connection.cancel_key() else { return };
        if self.send_cancel(connection.router, key) {
            self.recorder.lock().requests[index].cancelled_at = Some(now);
        }
    }

    /// Sends a cancel request on a separate connection. Returns `true` if it was written.
    fn send_cancel(&self, router: usize, key: &[u8]) -> bool {
        let address = self.settings.routers[router];
        let connected = std::net::TcpStream::connect_timeout(&address, CANCEL_TIMEOUT);
        connected.and_then(|mut socket| socket.write_all(&cancel_request(key))).is_ok()
    }

    /// Abandons the connection. The history shows that no response arrived.
    fn abandon_connection(&mut self, client: usize, now: Micros) {
        self.take_connection(client);
        self.clients[client].next_action_at = now + RECONNECT_DELAY;
    }

    /// Closes a client's connection while requests are pending.
    fn disconnect(&mut self, client: usize, now: Micros) {
        let Some(connection) = self.take_connection(client) else { return };
        connection.record_disconnect(now, &mut self.recorder.lock());
        self.clients[client].next_action_at = now + self.draw_pause();
    }

    /// Closes a client's connection that has no pending requests.
    fn close(&mut self, client: usize) {
        if let Some(connection) = self.take_connection(client) {
            connection.record_stall(false, self.clock.now(), &mut self.recorder.lock());
        }
        self.clients[client].next_action_at = match self.clients[client].lifetime {
            Lifetime::OneRequest => Micros::MAX,
            Lifetime::WholeLoad => self.clock.now() + self.draw_pause(),
        };
    }

    fn take_connection(&mut self, client: usize) -> Option<Connection> {
        let connection = self.clients[client].connection.take()?;
        self.clients_by_token.remove(&connection.token);
        Some(connection)
    }

    fn connect(&mut self, client: usize) {
        let now = self.clock.now();
        let Ok(connection) = self.open_connection(self.clients[client].router, now) else {
            // Chooses another router, as the platform would.
            self.clients[client].router = self.draw_router();
            self.clients[client].next_action_at = now + RECONNECT_DELAY;
            return;
        };
        self.clients_by_token.insert(connection.token, client);
        self.clients[client].connection = Some(connection);
        let faults = self.shared.faults();
        if let Some(delay) = faults.first_request_delay {
            self.clients[client].next_action_at = now + delay;
            return;
        }
        // Half of the clients send their first request together with the startup message.
        if self.rng.bool() {
            self.add_request(client, faults);
            self.transfer(client);
        } else {
            self.clients[client].next_action_at = now + self.rng.i64(0..MAX_FIRST_DELAY);
        }
    }

    /// Connects to a router. On loopback, a connect succeeds before the router has accepted the connection,
    /// so the first bytes may be sent before that.
    fn open_connection(&mut self, router: usize, now: Micros) -> io::Result<Connection> {
        let address = self.settings.routers[router];
        let socket = std::net::TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
        socket.set_nonblocking(true)?;
        let mut stream = TcpStream::from_std(socket);
        let token = self.poller.add_stream(&mut stream)?;
        _ = stream.set_nodelay(true);
        self.connections_opened += 1;
        Ok(Connection::new(router, stream, token, self.connections_opened, now))
    }

    fn send(&mut self, client: usize, faults: ClientFaults) {
        let now = self.clock.now();
        if self.rng.u32(..PROBABILITY_SCALE) < faults.stall {
            let Some(connection) = &mut self.clients[client].connection else { return };
            connection.stall(now);
        } else {
            for _ in 0..faults.pipelined.max(1) {
                self.add_request(client, faults);
            }
        }
        self.transfer(client);
    }

    fn add_request(&mut self, client: usize, faults: ClientFaults) {
        let now = self.clock.now();
        let session = self.clients[client].session;
        let (commits, recorder) = (&mut self.commits, &self.recorder);
        let last_commit = |group| commits.last_commit(session, group, &recorder.lock());
        let request = DrawnRequest::draw(&mut self.rng, self.settings.groups, faults, now, last_commit);
        let statement = request.statement(session, &self.clock);
        if request.class == Class::Write {
            self.commits.add_write(request.id, session);
        }
        let Some(connection) = &mut self.clients[client].connection else { return };
        connection.add_request(&request, &statement, now, &mut self.recorder.lock());
    }

    /// Writes and reads as much as possible on a client's connection.
    fn transfer(&mut self, client: usize) {
        let now = self.clock.now();
        let Some(connection) = &mut self.clients[client].connection else { return };
        let is_open = connection.transfer(now, &self.recorder);
        connection.take_responses(&self.clock, &self.recorder);
        let is_idle = connection.pending_requests() == 0;
        if is_idle && self.clients[client].next_action_at <= self.clock.now() {
            self.clients[client].next_action_at = self.clock.now() + self.draw_pause();
        }
        if !is_open {
            self.handle_close(client);
        }
    }

    /// Records that the router closed the connection, and schedules a reconnect.
    fn handle_close(&mut self, client: usize) {
        let now = self.clock.now();
        let Some(connection) = self.take_connection(client) else { return };
        let mut history = self.recorder.lock();
        connection.record_close(now, &mut history);
        connection.record_stall(true, self.clock.now(), &mut history);
        drop(history);
        let delay = if connection.has_sent() { 0 } else { RECONNECT_DELAY };
        self.clients[client].router = self.draw_router();
        self.clients[client].next_action_at = match self.clients[client].lifetime {
            Lifetime::OneRequest => Micros::MAX,
            Lifetime::WholeLoad => now + delay,
        };
    }
}
