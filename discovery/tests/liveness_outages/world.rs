//! Plays a history through the state machine, as the driver would.
use crate::agent::{AgentEvent, Connection};
use crate::history::{History, STEP};
use discovery::liveness::{Action, ConnectionId, Event, Settings, WatchLiveness};
use settings::Limits;
use settings::limits::{ProcessResources, RequestTimes};
use std::collections::BTreeSet;
use std::time::Duration;

/// How long a history is played on after its last event, in milliseconds.
const AFTERMATH: u64 = 40_000;

pub(crate) fn limits() -> Limits {
    let long = Duration::from_secs(20);
    Limits::new(
        ProcessResources { descriptors: 256, memory_bytes: 192 << 20 },
        RequestTimes { connect_timeout: long, backend_keepalive: long, longest_deadline: long },
    )
}

fn machine(limits: &Limits) -> WatchLiveness {
    WatchLiveness::new(Settings::from(limits))
}

struct World {
    history: History,
    limits: Limits,
    liveness: WatchLiveness,
    connections: Vec<Connection>,
    address: usize,
    /// The version a new connection asks from, as the driver and the list keep it.
    resume_version: u64,
    heard: BTreeSet<u64>,
    /// Since when each version could have been heard and was not.
    unheard_since: Vec<Option<u64>>,
    /// The longest that a version was not heard while it could have been.
    worst: u64,
}

impl World {
    fn new(history: History) -> World {
        let limits = limits();
        World {
            liveness: machine(&limits),
            limits,
            connections: Vec::new(),
            address: 0,
            resume_version: 0,
            heard: BTreeSet::new(),
            unheard_since: vec![None; history.changes.len() + 1],
            worst: 0,
            history,
        }
    }

    fn step(&mut self, now: u64) {
        if self.history.moves.contains(&now) {
            self.address = 1 - self.address;
            self.handle(now, Event::Follow);
            // What the new address has counts anew.
            self.unheard_since.fill(None);
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
        self.assert_heard_in_time(now);
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
                self.heard.extend(after + 1..=version);
                // As the driver does it.
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
                    let before = self.connections.len();
                    self.connections.retain(|c| c.id != id);
                    assert_eq!(self.connections.len() + 1, before, "closed one that is not open");
                }
                Action::ReportStale(_) | Action::ReportLive { .. } => {}
            }
        }
    }

    fn assert_connections_bounded(&self, now: u64) {
        let max_pending = self.limits.max_pending_watches;
        let pending = self.connections.iter().filter(|c| !c.is_watching()).count();
        assert!(pending <= max_pending, "{pending} wait at {now}");
        // The one that is stale and, after a move, the old address's.
        let open = self.connections.len();
        assert!(open <= max_pending + 2, "{open} are open at {now}");
    }

    fn assert_heard_in_time(&mut self, now: u64) {
        let bound = self.limits.max_delay_after_silence().as_millis() as u64;
        let is_away = self.history.outage(self.address, now).is_some();
        for version in 1..=self.history.version(now) {
            let since = &mut self.unheard_since[version as usize];
            if is_away || self.heard.contains(&version) {
                *since = None;
                continue;
            }
            let waited = now - *since.get_or_insert(now);
            assert!(
                waited <= bound,
                "version {version} is not heard at {now}, {waited} ms after it could be"
            );
            self.worst = self.worst.max(waited);
        }
    }

    fn assert_one_watch_stays(&self) {
        let count = self.history.changes.len() as u64;
        assert_eq!(self.heard.len() as u64, count);
        assert_eq!(self.resume_version, count, "a new watch would ask for what is known");
        let left: Vec<_> = self.connections.iter().map(|c| (c.address, c.is_watching())).collect();
        assert_eq!(left, [(self.address, true)], "one watch stays");
    }
}

/// Plays a history; gives the longest that a change was not heard while it could have been, in milliseconds.
pub(crate) fn play(history: History) -> u64 {
    let end = history.end() + AFTERMATH;
    let mut world = World::new(history);
    world.handle(0, Event::Follow);
    for now in (0..end).step_by(STEP as usize) {
        world.step(now);
    }
    world.assert_one_watch_stays();
    world.worst
}
