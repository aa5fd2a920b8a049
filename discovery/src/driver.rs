//! The thread that performs the actions of the state machine and serves all connections. Only this thread
//! updates the endpoint list.

use crate::connection::{Progress, Received, WatchConnection};
use crate::endpoint_list::EndpointListParser;
use crate::error::ConnectionError;
use crate::json_objects::StreamItem;
use crate::liveness::{Action, ConnectionId, Event, Settings, WatchLiveness};
use crate::shared::Shared;
use crossbeam_channel::Receiver;
use mio::{Events, Poll, Token, Waker};
use routing::{EndpointUpdate, UpdateOrder};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// While discovery is unreachable, up to four connection attempts per second fail. The first failure and
/// every tenth one are logged as warnings, the remaining ones at debug level.
const FAILURES_PER_WARNING: u32 = 10;
/// The token of the waker. Connections use their IDs as tokens, which start at 1.
const WAKER: Token = Token(0);
/// Capacity of the event buffer of one poll; there are few connections.
const MAX_EVENTS_PER_POLL: usize = 32;
/// Delay after a failed poll.
const POLL_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The endpoint list's actor has ended, so the watch ends too.
struct ListClosed;

/// The connection that an update was received on.
struct Source {
    connection: ConnectionId,
    addr: SocketAddr,
    /// The version of the connection before this update.
    previous_version: u64,
}

pub(crate) struct Driver {
    shared: Arc<Shared>,
    poll: Poll,
    /// The address for new connections.
    addr: SocketAddr,
    /// The origin of the state machine's times.
    started: Instant,
    liveness: WatchLiveness,
    parser: EndpointListParser,
    connections: BTreeMap<ConnectionId, WatchConnection>,
    /// Connections that may have data to read.
    ready: BTreeSet<ConnectionId>,
    /// The address from which the endpoint list's version was received.
    version_source: Option<SocketAddr>,
    /// The number of connections that have failed since a watch was last live.
    failures: u32,
}

impl Driver {
    /// Creates a driver without connections, and the waker for its poll.
    ///
    /// # Errors
    /// An error of the operating system, for example if the process has no file descriptors left.
    pub(crate) fn new(shared: Arc<Shared>, addr: SocketAddr) -> io::Result<(Driver, Waker)> {
        let poll = Poll::new()?;
        let waker = Waker::new(poll.registry(), WAKER)?;
        let driver = Driver {
            poll,
            addr,
            started: Instant::now(),
            liveness: WatchLiveness::new(Settings::from(&*shared.limits)),
            parser: EndpointListParser::new(shared.zones.clone()),
            connections: BTreeMap::new(),
            ready: BTreeSet::new(),
            version_source: None,
            failures: 0,
            shared,
        };
        Ok((driver, waker))
    }

    /// Runs until the endpoint list's actor has ended.
    pub(crate) fn run(mut self, addresses: &Receiver<SocketAddr>) {
        let mut events = Events::with_capacity(MAX_EVENTS_PER_POLL);
        loop {
            self.poll_events(&mut events);
            while let Ok(addr) = addresses.try_recv() {
                self.addr = addr;
                self.handle(Event::Follow);
            }
            self.record_events(&events);
            if self.advance_ready().is_err() {
                return;
            }
            self.end_overdue_connections();
            if self.liveness.next_deadline().is_some_and(|at| at <= self.started.elapsed()) {
                self.handle(Event::Deadline);
            }
        }
    }

    fn poll_events(&mut self, events: &mut Events) {
        let timeout = self.timeout();
        if let Err(error) = self.poll.poll(events, timeout)
            && error.kind() != io::ErrorKind::Interrupted
        {
            tracing::warn!(%error, "discovery poll failed, retrying");
            // Avoids a busy loop if the poll keeps failing.
            std::thread::sleep(POLL_RETRY_DELAY);
        }
    }

    /// The timeout of the next poll: time until the earliest deadline, or `None` if there is none.
    fn timeout(&self) -> Option<Duration> {
        if !self.ready.is_empty() {
            return Some(Duration::ZERO);
        }
        let steps = self.connections.values().filter_map(WatchConnection::step_deadline);
        let next = self.liveness.next_deadline().map(|at| self.started + at);
        steps.chain(next).min().map(|at| at.saturating_duration_since(Instant::now()))
    }

    fn record_events(&mut self, events: &Events) {
        for event in events {
            if event.token() == WAKER {
                continue;
            }
            let id = ConnectionId(event.token().0 as u64);
            if event.is_writable() || event.is_error() {
                self.on_writable(id);
            }
            if self.connections.contains_key(&id) {
                self.ready.insert(id);
            }
        }
    }

    fn on_writable(&mut self, id: ConnectionId) {
        let version = self.shared.resume_version();
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if let Err(error) = connection.on_writable(version) {
            self.on_ended(id, &error);
        }
    }

    /// Serves each ready connection once, up to the limit of bytes per turn.
    fn advance_ready(&mut self) -> Result<(), ListClosed> {
        for id in std::mem::take(&mut self.ready) {
            self.advance(id)?;
        }
        Ok(())
    }

    fn advance(&mut self, id: ConnectionId) -> Result<(), ListClosed> {
        let Some(connection) = self.connections.get_mut(&id) else { return Ok(()) };
        let mut received = Vec::new();
        let progress = connection.advance(&mut received);
        for part in received {
            // Handling an earlier part may have closed the connection.
            if !self.connections.contains_key(&id) {
                return Ok(());
            }
            match part {
                Received::ResponseHead => self.handle(Event::ResponseHead(id)),
                Received::Item(item) => self.on_item(id, item)?,
            }
        }
        match progress {
            Ok(Progress::HasMore) => _ = self.ready.insert(id),
            Ok(Progress::Waiting) => {}
            Err(error) => self.on_ended(id, &error),
        }
        Ok(())
    }

    /// Ends connections that were not established, or received no response head, in time.
    fn end_overdue_connections(&mut self) {
        let now = Instant::now();
        let is_overdue = |c: &WatchConnection| c.step_deadline().is_some_and(|at| at <= now);
        let overdue: Vec<ConnectionId> =
            self.connections.iter().filter(|(_, c)| is_overdue(c)).map(|(id, _)| *id).collect();
        for id in overdue {
            self.on_ended(id, &ConnectionError::Io(io::ErrorKind::TimedOut.into()));
        }
    }

    fn on_item(&mut self, id: ConnectionId, item: StreamItem) -> Result<(), ListClosed> {
        if !self.liveness.is_tracked(id) {
            return Ok(());
        }
        let update = match self.parse(item) {
            Ok(update) => update,
            Err(error) => {
                self.on_ended(id, &error);
                return Ok(());
            }
        };
        self.handle(Event::Line { connection: id, has_update: update.is_some() });
        if let Some(update) = update {
            // Handling the line may have closed the connection, if it goes to the previous address and its
            // grace period has ended.
            let Some(connection) = self.connections.get_mut(&id) else { return Ok(()) };
            let previous_version = connection.version.replace(update.version).unwrap_or(0);
            let source = Source { connection: id, addr: connection.addr, previous_version };
            self.apply(&source, update)?;
        }
        self.shared.first_line.set_received();
        Ok(())
    }

    /// Parses an element of the stream; `None` for an empty line, which carries no update.
    fn parse(&mut self, item: StreamItem) -> Result<Option<EndpointUpdate>, ConnectionError> {
        match item {
            StreamItem::EmptyLine => Ok(None),
            StreamItem::Object(bytes) => {
                self.parser.parse(&bytes).map(Some).map_err(ConnectionError::InvalidUpdate)
            }
        }
    }

    /// Sends an update to the endpoint list.
    fn apply(&mut self, source: &Source, update: EndpointUpdate) -> Result<(), ListClosed> {
        let update_order = self.update_order(source, &update);
        let (version, complete) = (update.version, update.complete);
        if !self.shared.list.notify_ordered(update_order, update) {
            return Err(ListClosed);
        }
        let is_restart = update_order == UpdateOrder::VersionsRestarted;
        if complete || (version >= source.previous_version && update_order != UpdateOrder::AfterGap) {
            self.version_source = Some(source.addr);
        }
        if is_restart && source.previous_version > 0 {
            let previous_version = source.previous_version;
            tracing::warn!(version, previous_version, "discovery versions restarted");
            self.request_complete_list();
        } else if complete || is_restart {
            self.shared.set_resume_from_zero(false);
        }
        Ok(())
    }

    /// Requests the complete list on new connections, after discovery restarted its version numbers: other
    /// changes since then are unknown, so connections that resumed from an old version are closed.
    fn request_complete_list(&mut self) {
        self.shared.set_resume_from_zero(true);
        // A connection that has not sent its request yet will request the complete list.
        let resumed = self.connections.iter().filter(|(_, c)| c.version.is_some());
        for id in resumed.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.on_ended(id, &ConnectionError::VersionsRestarted);
        }
    }

    /// Determines how an update relates to the contents of the endpoint list.
    fn update_order(&self, source: &Source, update: &EndpointUpdate) -> UpdateOrder {
        let Source { connection, addr, previous_version } = *source;
        if update.complete {
            // A complete list does not depend on earlier updates.
            return UpdateOrder::Consecutive;
        }
        // After a change of address a lower version may only mean that the new agent lags: its changes below
        // the list's version are ignored until it sends a complete list.
        let has_decreased = update.version < previous_version && self.version_source == Some(addr);
        let has_restarted = previous_version == 0 && self.shared.resumes_from_zero();
        if has_decreased || has_restarted {
            UpdateOrder::VersionsRestarted
        } else if self.liveness.was_stale(connection) {
            // The connection may have missed changes, which a new watch must still request.
            UpdateOrder::AfterGap
        } else {
            UpdateOrder::Consecutive
        }
    }

    fn on_ended(&mut self, id: ConnectionId, error: &ConnectionError) {
        self.close(id);
        if !self.liveness.is_tracked(id) {
            return;
        }
        if self.failures.is_multiple_of(FAILURES_PER_WARNING) {
            tracing::warn!(%error, "discovery watch broken");
        } else {
            tracing::debug!(%error, "discovery watch broken");
        }
        self.failures += 1;
        self.handle(Event::Ended(id));
    }

    /// Passes an event to the state machine, and performs its actions.
    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.liveness.handle(self.started.elapsed(), event, &mut actions);
        for action in actions {
            match action {
                Action::Open(id) => self.open(id),
                Action::Close(id) => self.close(id),
                Action::ReportStale(_) => {
                    let silent = self.shared.limits.watch_silence_timeout;
                    tracing::warn!(?silent, "discovery watch stale, opening another");
                }
                Action::ReportLive { outage } => {
                    self.failures = 0;
                    tracing::info!(?outage, "discovery watch restored");
                }
            }
        }
    }

    /// Opens a connection; an immediate failure is handled like the end of the connection.
    fn open(&mut self, id: ConnectionId) {
        let (limits, token) = (&self.shared.limits, Token(id.0 as usize));
        match WatchConnection::open(self.addr, limits, self.poll.registry(), token) {
            Ok(connection) => _ = self.connections.insert(id, connection),
            Err(error) => self.on_ended(id, &ConnectionError::Io(error)),
        }
    }

    /// Closes a connection. Closing its descriptor also removes it from the poll.
    fn close(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
        self.ready.remove(&id);
    }
}
