//! Simulates a history with the state machine, in place of the driver.
use crate::agent::{AgentEvent, Connection};
use crate::history::{History, STEP};
use discovery::liveness::{Action, ConnectionId, Event, Settings, WatchLiveness};
use settings::Limits;
use settings::limits::{ProcessResources, RequestTimes};
use std::collections::BTreeSet;
use std::time::Duration;

/// How long a simulation continues after the last event of its history, in milliseconds.
const TIME_AFTER_LAST_EVENT: u64 = 40_000;

pub(crate) fn limits() -> Limits {
    let long = Duration::from_secs(20);
    Limits::new(
        ProcessResources { descriptors: 256, memory_bytes: 192 << 20 },
        RequestTimes { connect_timeout: long, backend_keepalive: long, longest_deadline: long },
    )
}

fn state_machine(limits: &Limits) -> WatchLiveness {
    WatchLiveness::new(Settings::from(limits))
}

struct Simulation {
    history: History,
    limits: Limits,
    liveness: WatchLiveness,
    connections: Vec<Connection>,
    address: usize,
    /// The version that a new connection resumes from, maintained as by the driver and the endpoint list.
    resume_version: u64,
    received: BTreeSet<u64>,
    /// For each version: since when it could have been received but was not.
    available_since: Vec<Option<u64>>,
    /// The longest delay between when a version could have been received and when it was.
    max_delay: u64,
}

impl Simulation {
    fn new(history: History) -> Simulation {
        let limits = limits();
        Simulation {
            liveness: state_machine(&limits),
            limits,
            connections: Vec::new(),
            address: 0,
            resume_version: 0,
            received: BTreeSet::new(),
            available_since: vec![None; history.changes.len() + 1],
            max_delay: 0,
            history,
        }
    }

    fn step(&mut self, now: u64) {
        if self.history.address_changes.contains(&now) {
            self.address = 1 - self.address;
            self.handle(now, Event::Follow);
            // The delays start again with the new address.
            self.available_since.fill(None);
        }
        for id in self.connections.iter().map(|c| c.id).collect::<Vec<_>>() {
            let connection = self.connections.iter_mut().find(|c| c.id == id);
            let event =
                connection.and_then(|c| c.poll(now, &self.history, self.resume_version, &self.limits));
            if let Some(event) = event {
                self.on_agent_event(now, id, event);
            }
        }
        if self.liveness.next_deadline().is_some_and(|deadline| deadline <= Duration::from_millis(now)) {
            self.handle(now, Event::Deadline);
        }
        self.assert_connections_bounded(now);
        self.assert_received_in_time(now);
    }

    fn on_agent_event(&mut self, now: u64, id: ConnectionId, event: AgentEvent) {
        match event {
            AgentEvent::ResponseHead => self.handle(now, Event::ResponseHead(id)),
            AgentEvent::Ended => {
                self.connections.retain(|c| c.id != id);
                self.handle(now, Event::Ended(id));
            }
            AgentEvent::Line { after, version } => {
                self.handle(now, Event::Line { connection: id, has_update: version > after });
                self.received.extend(after + 1..=version);
                // The driver does not advance the resume version on a stale connection either.
                if !self.liveness.was_stale(id) {
                    self.resume_version = self.resume_version.max(version);
                }
            }
        }
    }

    fn handle(&mut self, now: u64, event: Event) {
        let mut actions = Vec::new();
        self.liveness.handle(Duration::from_millis(now), event, &mut actions);
        for action in actions {
            match action {
                Action::Open(id) => self.connections.push(Connection::open(id, self.address, now)),
                Action::Close(id) => {
                    let open_before = self.connections.len();
                    self.connections.retain(|c| c.id != id);
                    assert_eq!(
                        self.connections.len() + 1,
                        open_before,
                        "closed a connection that is not open"
                    );
                }
                Action::ReportStale(_) | Action::ReportLive { .. } => {}
            }
        }
    }

    fn assert_connections_bounded(&self, now: u64) {
        let max_pending = self.limits.max_pending_watches;
        let pending = self.connections.iter().filter(|c| !c.is_watching()).count();
        assert!(pending <= max_pending, "{pending} pending connections at {now}");
        // In addition there may be a stale connection and, after a change of address, the previous address's
        // one.
        let open = self.connections.len();
        assert!(open <= max_pending + 2, "{open} open connections at {now}");
    }

    fn assert_received_in_time(&mut self, now: u64) {
        let bound = self.limits.max_delay_after_silence().as_millis() as u64;
        let is_outage = self.history.outage(self.address, now).is_some();
        for version in 1..=self.history.version(now) {
            let since = &mut self.available_since[version as usize];
            if is_outage || self.received.contains(&version) {
                *since = None;
                continue;
            }
            let waited = now - *since.get_or_insert(now);
            assert!(
                waited <= bound,
                "version {version} not received at {now}, {waited} ms after it was available"
            );
            self.max_delay = self.max_delay.max(waited);
        }
    }

    fn assert_one_watch_remains(&self) {
        let count = self.history.changes.len() as u64;
        assert_eq!(self.received.len() as u64, count);
        assert_eq!(self.resume_version, count, "resume version differs from the last received version");
        let remaining: Vec<_> = self.connections.iter().map(|c| (c.address, c.is_watching())).collect();
        assert_eq!(remaining, [(self.address, true)], "exactly one watch must remain");
    }
}

/// Simulates a history; returns the longest delay of a change in milliseconds, see [`Simulation::max_delay`].
pub(crate) fn simulate(history: History) -> u64 {
    let end = history.end() + TIME_AFTER_LAST_EVENT;
    let mut simulation = Simulation::new(history);
    simulation.handle(0, Event::Follow);
    for now in (0..end).step_by(STEP as usize) {
        simulation.step(now);
    }
    simulation.assert_one_watch_remains();
    simulation.max_delay
}
