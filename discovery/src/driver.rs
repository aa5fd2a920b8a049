//! The thread that carries out what the state machine decides, and that serves all connections. It alone updates the
//! list.

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

/// While discovery is away, up to four attempts a second fail: of these, the first and each tenth are warnings.
const FAILURES_PER_WARNING: u32 = 10;
/// The token of the waker. Connections have their ids, which count from 1.
const WAKER: Token = Token(0);
/// Events that are collected from the system at a time; there are few connections.
const MAX_EVENTS_PER_TURN: usize = 32;
/// How long after a failed wait the next one begins.
const WAIT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The actor of the list has ended, and with it the watch.
struct ListClosed;

/// Where an update comes from.
struct Source {
    connection: ConnectionId,
    addr: SocketAddr,
    /// The connection's version before this update.
    previous_version: u64,
}

pub(crate) struct Driver {
    shared: Arc<Shared>,
    poll: Poll,
    /// The address that new connections go to.
    addr: SocketAddr,
    /// Zero of the state machine's times.
    started: Instant,
    liveness: WatchLiveness,
    parser: EndpointListParser,
    connections: BTreeMap<ConnectionId, WatchConnection>,
    /// Connections that may have something to read.
    ready: BTreeSet<ConnectionId>,
    /// The address whose version the list holds.
    version_source: Option<SocketAddr>,
    /// Failed attempts since a watch was last live.
    failures: u32,
}

impl Driver {
    /// A driver that has opened nothing yet, and what wakes it.
    ///
    /// # Errors
    /// The system's, among others if the process is out of descriptors.
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

    /// Runs until the actor of the list has ended.
    pub(crate) fn run(mut self, addresses: &Receiver<SocketAddr>) {
        let mut events = Events::with_capacity(MAX_EVENTS_PER_TURN);
        loop {
            self.wait(&mut events);
            while let Ok(addr) = addresses.try_recv() {
                self.addr = addr;
                self.handle(Event::Follow);
            }
            self.note_events(&events);
            if self.advance_ready().is_err() {
                return;
            }
            self.end_overdue_connections();
            if self.liveness.next_deadline().is_some_and(|at| at <= self.started.elapsed()) {
                self.handle(Event::Deadline);
            }
        }
    }

    fn wait(&mut self, events: &mut Events) {
        let timeout = self.timeout();
        if let Err(error) = self.poll.poll(events, timeout)
            && error.kind() != io::ErrorKind::Interrupted
        {
            tracing::warn!(%error, "discovery poll failed, retrying");
            // Not a busy loop: whatever is wrong, the connections are tried again at this pace.
            std::thread::sleep(WAIT_RETRY_DELAY);
        }
    }

    /// How long nothing needs doing unless an event arrives. `None`: forever.
    fn timeout(&self) -> Option<Duration> {
        if !self.ready.is_empty() {
            return Some(Duration::ZERO);
        }
        let steps = self.connections.values().filter_map(WatchConnection::step_deadline);
        let next = self.liveness.next_deadline().map(|at| self.started + at);
        steps.chain(next).min().map(|at| at.saturating_duration_since(Instant::now()))
    }

    fn note_events(&mut self, events: &Events) {
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

    /// Each connection that may have something to read has one turn.
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
            // An earlier part may have closed the connection.
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

    /// Ends connections that have not come up, or brought no response head, in time.
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
            // That line may have been what closed it: a previous address's connection whose time is over.
            let Some(connection) = self.connections.get_mut(&id) else { return Ok(()) };
            let previous_version = connection.version.replace(update.version).unwrap_or(0);
            let source = Source { connection: id, addr: connection.addr, previous_version };
            self.apply(&source, update)?;
        }
        self.shared.first_line.set_received();
        Ok(())
    }

    /// The update that an item holds; an empty line says that there is none.
    fn parse(&mut self, item: StreamItem) -> Result<Option<EndpointUpdate>, ConnectionError> {
        match item {
            StreamItem::EmptyLine => Ok(None),
            StreamItem::Object(bytes) => {
                self.parser.parse(&bytes).map(Some).map_err(ConnectionError::InvalidUpdate)
            }
        }
    }

    /// Hands an update to the list.
    fn apply(&mut self, source: &Source, update: EndpointUpdate) -> Result<(), ListClosed> {
        let order = self.order(source, &update);
        let (version, complete) = (update.version, update.complete);
        if !self.shared.list.notify_ordered(order, update) {
            return Err(ListClosed);
        }
        let restarted = order == UpdateOrder::VersionsRestarted;
        if complete || (version >= source.previous_version && order != UpdateOrder::AfterGap) {
            self.version_source = Some(source.addr);
        }
        if restarted && source.previous_version > 0 {
            let previous_version = source.previous_version;
            tracing::warn!(version, previous_version, "discovery versions restarted");
            self.request_complete_list();
        } else if complete || restarted {
            self.shared.set_resume_from_zero(false);
        }
        Ok(())
    }

    /// What else has changed since discovery began anew is not known, so no connection may build on what is held.
    fn request_complete_list(&mut self) {
        self.shared.set_resume_from_zero(true);
        // One that has not sent its request yet will ask for the complete list.
        let resumed = self.connections.iter().filter(|(_, c)| c.version.is_some());
        for id in resumed.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.on_ended(id, &ConnectionError::VersionsRestarted);
        }
    }

    /// How an update follows what the list holds.
    fn order(&self, source: &Source, update: &EndpointUpdate) -> UpdateOrder {
        let Source { connection, addr, previous_version } = *source;
        if update.complete {
            // It stands for itself, whatever came before.
            return UpdateOrder::Consecutive;
        }
        // Another agent's versions, after a move, may only be behind: its changes below the version held are ignored
        // until it brings a complete list.
        let went_back = update.version < previous_version && self.version_source == Some(addr);
        let begins_anew = previous_version == 0 && self.shared.resumes_from_zero();
        if went_back || begins_anew {
            UpdateOrder::VersionsRestarted
        } else if self.liveness.was_stale(connection) {
            // It may have missed changes, and a new watch must still ask for these.
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

    /// Lets the state machine decide, and carries that out.
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

    /// Begins to connect. Where that fails at once, the connection has ended.
    fn open(&mut self, id: ConnectionId) {
        let (limits, token) = (&self.shared.limits, Token(id.0 as usize));
        match WatchConnection::open(self.addr, limits, self.poll.registry(), token) {
            Ok(connection) => _ = self.connections.insert(id, connection),
            Err(error) => self.on_ended(id, &ConnectionError::Io(error)),
        }
    }

    /// Closes a connection, which its poll forgets with the descriptor.
    fn close(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
        self.ready.remove(&id);
    }
}
