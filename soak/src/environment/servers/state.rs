//! The servers' state, as faults change it.
use crate::environment::link::{LinkFault, LinkId};
use crate::plan::Plan;
use crate::time::{Micros, SECOND};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// How long one request takes a core.
const SERVICE_TIME: Micros = 20_000;
/// Cores of a server.
const CORES: usize = 2;
/// Requests that a server accepts at once; more are rejected.
const MAX_REQUESTS: usize = 60;
/// How far a replica is behind as a rule.
const USUAL_LAG: Micros = 20_000;
/// How long a demoted primary may still be taken for one.
const DEMOTION_GRACE: Micros = 5 * SECOND;

/// Requests a second that a warm server can do.
pub const CAPACITY: f64 = CORES as f64 * SECOND as f64 / SERVICE_TIME as f64;

/// Faults of a server, which may overlap.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerFaults {
    /// It takes work and answers nothing.
    pub hangs: bool,
    /// It answers bytes that are no messages.
    pub answers_garbage: bool,
    /// It resets connections under requests.
    pub resets_connections: bool,
    /// It applies nothing.
    pub replication_stopped: bool,
}

/// A server.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its group.
    pub group: usize,
    /// It is the primary of its group.
    pub primary: bool,
    /// Its process runs.
    pub alive: bool,
    /// Its faults.
    pub faults: ServerFaults,
    /// When it was last a primary.
    last_primary_at: Option<Micros>,
    /// All that was committed up to here is applied.
    position: Micros,
    /// Its connections of before this are reset.
    reset_before: Micros,
    /// Until when each core is busy.
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
            reset_before: 0,
            busy_until: [0; CORES],
            requests_in_progress: 0,
        }
    }

    /// All that was committed up to this moment is applied.
    pub(super) fn position(&self) -> Micros {
        self.position
    }

    /// Whether a router may take it for a primary.
    pub(super) fn was_primary(&self, now: Micros) -> bool {
        self.last_primary_at.is_some_and(|at| now - at < DEMOTION_GRACE)
    }

    /// Whether a connection or a request of this moment ended with the process that had it.
    pub(super) fn was_reset_since(&self, at: Micros) -> bool {
        at < self.reset_before
    }

    pub(super) fn crash(&mut self, now: Micros) {
        self.alive = false;
        self.reset_before = now;
        self.requests_in_progress = 0;
        self.busy_until = [0; CORES];
    }

    pub(super) fn has_room(&self) -> bool {
        self.requests_in_progress < MAX_REQUESTS
    }

    /// Accepts a request; when it is done.
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
            self.position = self.position.max(now - USUAL_LAG);
        }
    }
}

/// The servers and their links, shared with whoever plays the faults.
pub struct ServersState {
    /// The servers.
    pub servers: Vec<Server>,
    /// Faults by router, then by server.
    link_faults: Vec<Vec<LinkFault>>,
    /// Connections of these links that were opened before these moments are forgotten: the next byte brings a reset.
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

    /// The faults of a link.
    pub fn link_fault(&self, link: LinkId) -> LinkFault {
        self.link_faults[link.router][link.server]
    }

    /// The faults of a link, to be changed.
    pub fn link_fault_mut(&mut self, link: LinkId) -> &mut LinkFault {
        &mut self.link_faults[link.router][link.server]
    }

    /// Forgets the connections of a router's links.
    pub fn forget_connections(&mut self, router: usize, now: Micros) {
        self.forgotten_before[router].fill(now);
    }

    /// Whether a connection of this link that was opened then is forgotten.
    pub(super) fn is_forgotten(&self, link: LinkId, opened_at: Micros) -> bool {
        opened_at < self.forgotten_before[link.router][link.server]
    }

    pub(super) fn advance_replication(&mut self, now: Micros) {
        let alive = self.servers.iter_mut().filter(|server| server.alive);
        alive.for_each(|server| server.advance_replication(now));
    }

    /// The member of the server's group that has applied most becomes primary.
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
