//! The thread that carries out what the state machine decides. It alone updates the list.

use crate::connection;
use crate::endpoint_list::EndpointListParser;
use crate::error::ConnectionError;
use crate::json_objects::StreamItem;
use crate::liveness::{Action, ConnectionId, Event, Settings, WatchLiveness};
use crate::shared::{Message, OpenConnection, Shared};
use crossbeam_channel::{Receiver, RecvTimeoutError};
use routing::{EndpointUpdate, UpdateOrder, spawn};
use settings::Limits;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

/// While discovery is away, up to four attempts a second fail: of these, the first and each tenth are warnings.
const FAILURES_PER_WARNING: u32 = 10;

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
    /// The address that new connections go to.
    addr: SocketAddr,
    /// Zero of the state machine's times.
    started: Instant,
    liveness: WatchLiveness,
    parser: EndpointListParser,
    connections: HashMap<ConnectionId, OpenConnection>,
    /// The address whose version the list holds.
    version_source: Option<SocketAddr>,
    /// Failed attempts since a watch was last live.
    failures: u32,
}

impl Driver {
    pub(crate) fn new(shared: Arc<Shared>, addr: SocketAddr) -> Driver {
        Driver {
            addr,
            started: Instant::now(),
            liveness: WatchLiveness::new(liveness_settings(&shared.limits)),
            parser: EndpointListParser::new(shared.zones.clone()),
            connections: HashMap::new(),
            version_source: None,
            failures: 0,
            shared,
        }
    }

    /// Runs until the actor of the list has ended.
    pub(crate) fn run(mut self, messages: &Receiver<Message>) {
        loop {
            let received = match self.liveness.next_deadline() {
                Some(deadline) => messages.recv_deadline(self.started + deadline),
                None => messages.recv().map_err(|_| RecvTimeoutError::Disconnected),
            };
            let handled = match received {
                Ok(message) => self.on_message(message),
                Err(RecvTimeoutError::Timeout) => {
                    self.handle(Event::Deadline);
                    Ok(())
                }
                Err(RecvTimeoutError::Disconnected) => return,
            };
            if let Err(ListClosed) = handled {
                self.connections.values().for_each(OpenConnection::close);
                return;
            }
        }
    }

    fn on_message(&mut self, message: Message) -> Result<(), ListClosed> {
        match message {
            Message::Follow(addr) => {
                self.addr = addr;
                self.handle(Event::Follow);
            }
            Message::Connected(id, connection) => self.on_connected(id, connection),
            Message::ResponseHead(id) => self.handle(Event::ResponseHead(id)),
            Message::Item(id, item) => self.on_item(id, item)?,
            Message::Ended(id, error) => self.on_ended(id, &error),
        }
        Ok(())
    }

    /// Takes a connection that has come up. One that was given up meanwhile is closed, and so is one that resumes from
    /// a version that no longer counts.
    fn on_connected(&mut self, id: ConnectionId, connection: OpenConnection) {
        if !self.liveness.is_tracked(id) {
            return connection.close();
        }
        let is_outdated = connection.version > 0 && self.shared.resumes_from_zero();
        self.connections.insert(id, connection);
        if is_outdated {
            self.on_ended(id, &ConnectionError::VersionsRestarted);
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
            let previous_version = std::mem::replace(&mut connection.version, update.version);
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
            tracing::warn!("discovery: version {version} came after {}", source.previous_version);
            self.request_complete_list();
        } else if complete || restarted {
            self.shared.set_resume_from_zero(false);
        }
        Ok(())
    }

    /// What else has changed since discovery began anew is not known, so no connection may build on what is held.
    fn request_complete_list(&mut self) {
        self.shared.set_resume_from_zero(true);
        let open: Vec<ConnectionId> = self.connections.keys().copied().collect();
        for id in open {
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
            tracing::warn!("discovery: the watch broke: {error}");
        } else {
            tracing::debug!("discovery: the watch broke: {error}");
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
                    let silent = self.shared.limits.watch_silent;
                    tracing::warn!("discovery: no whole line for {silent:?}, the watch is opened anew");
                }
                Action::ReportLive { outage } => {
                    self.failures = 0;
                    tracing::info!("discovery: watched again after {outage:?}");
                }
            }
        }
    }

    /// Starts a connection's reader. Where that fails, the connection has ended.
    fn open(&mut self, id: ConnectionId) {
        let (addr, shared) = (self.addr, self.shared.clone());
        let reader = move || connection::run(addr, id, &shared);
        if let Err(error) = spawn("discovery", self.shared.limits.stack_bytes, reader) {
            self.on_ended(id, &ConnectionError::Io(error));
        }
    }

    /// Closes a connection where it is up. One that is not yet is closed once it is.
    fn close(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.remove(&id) {
            connection.close();
        }
    }
}

fn liveness_settings(limits: &Limits) -> Settings {
    Settings {
        stale_after: limits.watch_silent,
        first_line_timeout: limits.watch_answer,
        min_open_interval: limits.watch_retry.0,
        max_open_interval: limits.watch_retry.1,
        previous_address_grace: limits.watch_former,
        max_pending: limits.watch_most,
        min_pending_time: limits.watch_chance(),
        oldest_pending_time: limits.watch_patience,
    }
}
