//! The server's event loop, on its only thread: it waits for events, advances the connections and accepts new
//! ones.
use crate::connection::{AdminConnection, EvictionOrder, Progress};
use crate::handler::{AdminHandler, handle_or_report_panic};
use crate::limits::AdminLimits;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Token of the listener. Connections have the tokens after it, in the order in which they were accepted; no
/// token is reused.
pub(crate) const LISTENER: Token = Token(0);
/// Maximum size of one read in bytes; one buffer of this size serves all connections.
const READ_BUFFER_BYTES: usize = 64 << 10;
/// Maximum number of connections accepted before the existing ones are advanced again.
const MAX_ACCEPTS_PER_ITERATION: usize = 64;
/// Delay after a failed accept, for example for lack of descriptors, before the next attempt.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Maximum number of events handled in one iteration.
const MAX_EVENTS_PER_ITERATION: usize = 256;

/// When to accept the next connection, and whether accepting fails.
struct AcceptSchedule {
    /// When to accept the next connection; `None` once the listener's queue is empty, until an event reports
    /// a new connection.
    next: Option<Instant>,
    /// Whether the last accept failed, so that a series of failures is logged only once.
    failing: bool,
}

/// The event loop with its listener and all connections.
pub(crate) struct EventLoop {
    listener: TcpListener,
    poll: Poll,
    limits: AdminLimits,
    handler: Arc<dyn AdminHandler>,
    /// Connections by token, which is the order in which they were accepted.
    connections: BTreeMap<Token, AdminConnection>,
    next_token: Token,
    read_buffer: Vec<u8>,
}

impl EventLoop {
    /// Creates an event loop without connections; `listener` is registered with `poll` as [`LISTENER`].
    pub(crate) fn new(
        listener: TcpListener,
        poll: Poll,
        limits: AdminLimits,
        handler: Arc<dyn AdminHandler>,
    ) -> EventLoop {
        EventLoop {
            listener,
            poll,
            limits,
            handler,
            connections: BTreeMap::new(),
            next_token: Token(LISTENER.0 + 1),
            read_buffer: vec![0; READ_BUFFER_BYTES],
        }
    }

    /// Serves connections for as long as the process lives.
    pub(crate) fn run(mut self) {
        let mut events = Events::with_capacity(MAX_EVENTS_PER_ITERATION);
        let mut schedule = AcceptSchedule { next: Some(Instant::now()), failing: false };
        loop {
            self.wait_for_events(&mut events, &schedule);
            self.process_events(&events, &mut schedule);
            self.advance_all();
            if schedule.next.is_some_and(|at| at <= Instant::now()) {
                self.accept_due(&mut schedule);
            }
        }
    }

    fn wait_for_events(&mut self, events: &mut Events, schedule: &AcceptSchedule) {
        if let Err(error) = self.poll.poll(events, self.timeout(schedule))
            && error.kind() != ErrorKind::Interrupted
        {
            tracing::warn!(%error, "admin poll failed, retrying");
            // The delay avoids a busy loop if the error persists.
            std::thread::sleep(ACCEPT_RETRY_DELAY);
        }
    }

    /// How long to wait for events until a connection or the accept schedule is due; `None` to wait without a
    /// limit.
    fn timeout(&self, schedule: &AcceptSchedule) -> Option<Duration> {
        if self.connections.values().any(AdminConnection::has_work) {
            return Some(Duration::ZERO);
        }
        let next = self.connections.values().map(AdminConnection::deadline).chain(schedule.next).min();
        next.map(|at| at.saturating_duration_since(Instant::now()))
    }

    fn process_events(&mut self, events: &Events, schedule: &mut AcceptSchedule) {
        for event in events {
            if event.token() == LISTENER {
                schedule.next = schedule.next.or_else(|| Some(Instant::now()));
            } else if let Some(connection) = self.connections.get_mut(&event.token()) {
                connection.update_readiness(event);
            }
        }
    }

    /// Advances each connection, and drops those that have ended or are past their deadline.
    fn advance_all(&mut self) {
        let now = Instant::now();
        let EventLoop { connections, limits, read_buffer, handler, .. } = self;
        connections.retain(|_, connection| {
            let handle = |command| handle_or_report_panic(&**handler, command);
            connection.advance(now, limits, read_buffer, handle) == Progress::Open
                && now < connection.deadline()
        });
    }

    /// Advances one connection, and drops it if it has ended.
    fn advance(&mut self, token: Token) -> Progress {
        let EventLoop { connections, limits, read_buffer, handler, .. } = self;
        let handle = |command| handle_or_report_panic(&**handler, command);
        let progress = connections.get_mut(&token).map_or(Progress::Closed, |connection| {
            connection.advance(Instant::now(), limits, read_buffer, handle)
        });
        if progress == Progress::Closed {
            connections.remove(&token);
        }
        progress
    }

    fn accept_due(&mut self, schedule: &mut AcceptSchedule) {
        match self.accept() {
            Ok(next) => *schedule = AcceptSchedule { next, failing: false },
            Err(error) => {
                if !schedule.failing {
                    tracing::warn!(%error, "admin connection not accepted, retrying");
                }
                let next = Some(Instant::now() + ACCEPT_RETRY_DELAY);
                *schedule = AcceptSchedule { next, failing: true };
            }
        }
    }

    /// Accepts connections and immediately reads from each. Returns when to accept next: now, or `None` for
    /// after the next event.
    fn accept(&mut self) -> io::Result<Option<Instant>> {
        for _ in 0..MAX_ACCEPTS_PER_ITERATION {
            match self.listener.accept() {
                Ok((socket, _)) => self.add_connection(socket)?,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(None),
                // The client has already closed the connection, or a signal interrupted the call: accept the
                // next one.
                Err(e) if matches!(e.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
                Err(e) => return Err(e),
            }
        }
        Ok(Some(Instant::now()))
    }

    fn add_connection(&mut self, mut socket: TcpStream) -> io::Result<()> {
        let token = self.next_token;
        self.next_token = Token(token.0 + 1);
        // Register before the first read, so that an event reports all data received after it.
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut socket, token, interest)?;
        let deadline = Instant::now() + self.limits.io_timeout;
        self.connections.insert(token, AdminConnection::new(socket, deadline));
        self.advance(token);
        while self.connections.len() > self.limits.max_connections {
            self.evict_one(token);
        }
        Ok(())
    }

    /// Closes one connection: the first by [`EvictionOrder`], and of several the oldest. The connection is
    /// advanced once more before that, and stays open if its order changes, so that a command that was
    /// already received gets its response.
    fn evict_one(&mut self, new_token: Token) {
        let order = |token: Token, connection: &AdminConnection| match connection.eviction_order() {
            order if token != new_token || order == EvictionOrder::Finished => order,
            _ => EvictionOrder::JustAccepted,
        };
        let first_to_evict = self
            .connections
            .iter_mut()
            .min_by_key(|(token, connection)| (order(**token, connection), **token));
        let Some((&token, connection)) = first_to_evict else { return };
        let before = connection.eviction_order();
        connection.assume_readable();
        if self.advance(token) == Progress::Open
            && self.connections.get(&token).map(AdminConnection::eviction_order) == Some(before)
        {
            self.connections.remove(&token);
        }
    }
}
