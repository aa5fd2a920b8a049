//! The state of the simulated servers and of their links, which faults change.
use crate::environment::link::{LinkFault, LinkId};
use crate::plan::Plan;
use crate::time::{Micros, SECOND};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The time that a request occupies a core.
const SERVICE_TIME: Micros = 20_000;
/// The number of cores of a server.
const CORES: usize = 2;
/// The maximum number of concurrent requests of a server; more are rejected.
const MAX_REQUESTS: usize = 60;
/// The replication lag of a replica without a fault.
const REPLICATION_LAG: Micros = 20_000;
/// How long after a server's demotion a router may still treat the server as a primary.
const DEMOTION_GRACE: Micros = 5 * SECOND;

/// The capacity of a fully warmed-up server, in requests per second.
pub const CAPACITY: f64 = CORES as f64 * SECOND as f64 / SERVICE_TIME as f64;

/// The faults of a server, which may overlap.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerFaults {
    /// The server executes requests but sends no responses.
    pub hangs: bool,
    /// The server responds with bytes that are not valid messages.
    pub sends_garbage: bool,
    /// The server resets connections in the middle of responses.
    pub resets_connections: bool,
    /// The server, as a replica, does not apply the log.
    pub replication_stopped: bool,
}

/// A simulated server.
#[derive(Clone, Debug)]
pub struct Server {
    /// The server's replication group.
    pub group: usize,
    /// Whether the server is the primary of its group.
    pub primary: bool,
    /// Whether the server process is running.
    pub alive: bool,
    /// The faults that the server currently has.
    pub faults: ServerFaults,
    /// When the server was last a primary.
    last_primary_at: Option<Micros>,
    /// The replication position: all commits up to this time have been applied.
    position: Micros,
    /// The time of the last crash: connections and requests from before it are reset.
    last_crash_at: Micros,
    /// For each core, the time until which it is busy.
    busy_until: [Micros; CORES],
    requests_in_progress: usize,
}

impl Server {
    fn new(group: usize, primary: bool) -> Server {
        Server {
            group,
            primary,
            alive: true,
            faults: ServerFaults::default(),
            last_primary_at: None,
            position: 0,
            last_crash_at: 0,
            busy_until: [0; CORES],
            requests_in_progress: 0,
        }
    }

    /// Returns the replication position: all commits up to this time have been applied.
    pub(super) fn position(&self) -> Micros {
        self.position
    }

    /// Whether a router may still treat the server as a primary.
    pub(super) fn was_primary(&self, now: Micros) -> bool {
        self.last_primary_at.is_some_and(|at| now - at < DEMOTION_GRACE)
    }

    /// Whether the server's process has crashed since the given time, so that the connections and requests
    /// that it had at that time are lost.
    pub(super) fn has_crashed_since(&self, at: Micros) -> bool {
        at < self.last_crash_at
    }

    pub(super) fn crash(&mut self, now: Micros) {
        self.alive = false;
        self.last_crash_at = now;
        self.requests_in_progress = 0;
        self.busy_until = [0; CORES];
    }

    pub(super) fn has_capacity(&self) -> bool {
        self.requests_in_progress < MAX_REQUESTS
    }

    /// Starts a request and returns when its execution finishes.
    pub(super) fn begin_request(&mut self, now: Micros) -> Micros {
        self.requests_in_progress += 1;
        let core = (0..CORES).min_by_key(|core| self.busy_until[*core]).unwrap_or(0);
        let done_at = self.busy_until[core].max(now) + SERVICE_TIME;
        self.busy_until[core] = done_at;
        done_at
    }

    pub(super) fn end_request(&mut self) {
        self.requests_in_progress = self.requests_in_progress.saturating_sub(1);
    }

    fn advance_replication(&mut self, now: Micros) {
        if self.primary {
            self.position = now;
            self.last_primary_at = Some(now);
        } else if !self.faults.replication_stopped {
            self.position = self.position.max(now - REPLICATION_LAG);
        }
    }
}

/// The servers and their links, shared between the servers' thread and the code that injects faults.
pub struct ServersState {
    /// The simulated servers of all groups.
    pub servers: Vec<Server>,
    /// The faults of the links, by router and then by server.
    link_faults: Vec<Vec<LinkFault>>,
    /// By router and then by server: connections of the link opened before this time are reset by the next
    /// byte from the router.
    forgotten_before: Vec<Vec<Micros>>,
}

impl ServersState {
    pub(super) fn new(plan: &Plan) -> ServersState {
        let members = plan.servers_per_group();
        let server = |index: usize| Server::new(index / members, index.is_multiple_of(members));
        ServersState {
            servers: (0..plan.servers()).map(server).collect(),
            link_faults: vec![vec![LinkFault::default(); plan.servers()]; plan.routers],
            forgotten_before: vec![vec![0; plan.servers()]; plan.routers],
        }
    }

    /// Returns the faults of a link.
    pub fn link_fault(&self, link: LinkId) -> LinkFault {
        self.link_faults[link.router][link.server]
    }

    /// Returns a mutable reference to the faults of a link.
    pub fn link_fault_mut(&mut self, link: LinkId) -> &mut LinkFault {
        &mut self.link_faults[link.router][link.server]
    }

    /// Makes the links of a router lose the state of their open connections.
    pub fn forget_connections(&mut self, router: usize, now: Micros) {
        self.forgotten_before[router].fill(now);
    }

    /// Whether the link has lost the state of a connection that was opened at this time.
    pub(super) fn is_forgotten(&self, link: LinkId, opened_at: Micros) -> bool {
        opened_at < self.forgotten_before[link.router][link.server]
    }

    pub(super) fn advance_replication(&mut self, now: Micros) {
        let alive = self.servers.iter_mut().filter(|server| server.alive);
        alive.for_each(|server| server.advance_replication(now));
    }

    /// Promotes the live replica of the server's group with the highest replication position.
    pub(super) fn fail_over(&mut self, server: usize, now: Micros) {
        let group = self.servers[server].group;
        let members = self.servers.iter().enumerate().filter(|(_, member)| member.group == group);
        let replicas = members.filter(|(_, member)| member.alive && !member.primary);
        let elected = replicas.max_by_key(|(_, member)| member.position).map(|(index, _)| index);
        let Some(elected) = elected else { return };
        for (index, member) in self.servers.iter_mut().enumerate().filter(|(_, m)| m.group == group) {
            if member.primary {
                member.last_primary_at = Some(now);
            }
            member.primary = index == elected;
        }
        let elected = &mut self.servers[elected];
        elected.position = now;
        elected.last_primary_at = Some(now);
    }
}

pub(super) fn lock(state: &Mutex<ServersState>) -> MutexGuard<'_, ServersState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
