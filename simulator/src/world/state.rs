//! State of the simulation, and helpers that all event handlers use.
use super::events::{EventQueue, RouterProcess, SimulationEvent};
use crate::checker::Checker;
use crate::fault::FaultKind;
use crate::node::Node;
use crate::plan::{ClassPlan, Plan};
use crate::results::{Counts, LatencyRecorder};
use crate::spread_meter::SpreadMeter;
use crate::times::{RUN_START, from_seconds};
use decision::{Freshness, Router, Time};
use fastrand::Rng;
use registry::fleet::Fleet;
use registry::machine::{Change, Machine as RegistryWatch};
use sessions::SessionKey;
use sessions::machine::Machine as Sessions;
use std::collections::{BTreeSet, HashMap};
use std::ops::Range;

/// A client, which makes one request and may retry it at any router of its session cluster.
pub(super) struct Client {
    pub(super) class: usize,
    pub(super) group: usize,
    pub(super) session: u64,
    pub(super) arrived_at: Time,
    pub(super) deadline: Time,
    pub(super) retries: u32,
}

/// An attempt that a router has sent.
pub(super) struct Attempt {
    pub(super) node: usize,
    pub(super) sent_at: Time,
    pub(super) in_flight: bool,
}

/// A request at a router, until it has its final response and none of its attempts is in flight.
pub(super) struct OpenRequest {
    pub(super) client: u64,
    pub(super) accepted_at: Time,
    /// Newest acknowledged commit of the session when the router accepted the request.
    pub(super) acknowledged_commit: Option<Time>,
    pub(super) attempts: Vec<Attempt>,
    pub(super) responded: bool,
}

/// An executed write that is acknowledged to the client once the session peers know the session's commit.
#[derive(Clone, Copy)]
pub(super) struct UnacknowledgedWrite {
    pub(super) client: u64,
    pub(super) session: u64,
    pub(super) commit: Time,
}

/// A session's commit in a router's journal.
#[derive(Clone, Copy)]
pub(super) struct JournalEntry {
    pub(super) session: SessionKey,
    pub(super) commit: Time,
}

/// A simulated router with its real state machines.
pub(super) struct SimulatedRouter {
    pub(super) zone: usize,
    pub(super) up: bool,
    pub(super) epoch: u32,
    pub(super) decision: Router,
    pub(super) sessions: Sessions,
    /// The session journal on disk; survives restarts of the router.
    pub(super) journal: Vec<JournalEntry>,
    pub(super) unacknowledged_writes: HashMap<u64, UnacknowledgedWrite>,
    pub(super) last_request: u64,
    pub(super) open_requests: HashMap<u64, OpenRequest>,
    /// Time at which each idle connection was last used, by node.
    pub(super) idle_connections: HashMap<usize, Vec<Time>>,
    pub(super) registry_watch: RegistryWatch,
    pub(super) endpoint_list: Fleet,
}

/// Registry changes whose delivery to a router is delayed until a registry outage ends.
pub(super) struct DelayedChanges {
    pub(super) router: usize,
    pub(super) changes: Vec<Change>,
}

/// Counts and latencies recorded for a request class.
#[derive(Default)]
pub(super) struct ClassRecorder {
    pub(super) counts: Counts,
    pub(super) latency: LatencyRecorder,
}

/// A connection from one router's session machine to another's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PeerConnection {
    pub(super) from: usize,
    pub(super) to: usize,
}

/// State of a simulation run.
pub(super) struct World<'p> {
    pub(super) plan: &'p Plan,
    pub(super) rng: Rng,
    pub(super) now: Time,
    pub(super) event_queue: EventQueue,
    pub(super) event_count: u64,
    pub(super) nodes: Vec<Node>,
    pub(super) routers: Vec<SimulatedRouter>,
    pub(super) clients: HashMap<u64, Client>,
    pub(super) last_client: u64,
    pub(super) peer_connections: BTreeSet<PeerConnection>,
    pub(super) partitioned_zone: Option<usize>,
    pub(super) load_factor: f64,
    pub(super) registry_outage: bool,
    pub(super) delayed_changes: Vec<DelayedChanges>,
    pub(super) registry_revision: u64,
    /// The nodes or routers that each active fault affects, by fault index.
    pub(super) fault_targets: HashMap<usize, Vec<usize>>,
    pub(super) checker: Checker,
    pub(super) class_recorders: Vec<ClassRecorder>,
    pub(super) second_counts: Vec<Counts>,
    pub(super) spread_meter: SpreadMeter,
    pub(super) total_load_share: f64,
}

impl<'p> World<'p> {
    pub(super) fn schedule_at(&mut self, at: Time, event: SimulationEvent) {
        self.event_queue.push(at, event);
    }

    pub(super) fn schedule_after(&mut self, microseconds: i64, event: SimulationEvent) {
        self.schedule_at(Time(self.now.0 + microseconds.max(0)), event);
    }

    /// Time after which no more clients arrive.
    pub(super) fn end(&self) -> Time {
        Time(RUN_START.0 + from_seconds(self.plan.duration_s))
    }

    /// Returns the router's current process.
    pub(super) fn process(&self, router: usize) -> RouterProcess {
        RouterProcess { router, epoch: self.routers[router].epoch }
    }

    pub(super) fn is_running(&self, process: RouterProcess) -> bool {
        let router = &self.routers[process.router];
        router.up && router.epoch == process.epoch
    }

    /// Returns the members of a router's session cluster, including the router itself.
    pub(super) fn session_cluster(&self, router: usize) -> Range<usize> {
        let size = self.plan.cluster_size.max(1);
        let first = router / size * size;
        first..(first + size).min(self.plan.routers)
    }

    pub(super) fn group_members(&self, group: usize) -> Range<usize> {
        let size = self.plan.replicas + 1;
        group * size..(group + 1) * size
    }

    pub(super) fn class(&self, class: usize) -> &'p ClassPlan {
        &self.plan.classes[class]
    }

    pub(super) fn required_freshness(&self, class: usize) -> Freshness {
        self.class(class).required_freshness().unwrap_or(Freshness::Latest)
    }

    /// Returns the nodes that an active fault drains.
    pub(super) fn draining_nodes(&self) -> BTreeSet<usize> {
        let drains = |fault: &usize| self.plan.faults[*fault].kind == FaultKind::Drain;
        self.fault_targets
            .iter()
            .filter(|(fault, _)| drains(fault))
            .flat_map(|(_, nodes)| nodes)
            .copied()
            .collect()
    }

    /// Updates the spread meter with the replicas that are in service.
    pub(super) fn update_replicas_in_service(&mut self) {
        let draining = self.draining_nodes();
        for (index, node) in self.nodes.iter().enumerate() {
            let healthy_replica = node.up && !node.hung && !node.failing && !node.primary;
            let in_service =
                healthy_replica && self.partitioned_zone != Some(node.zone) && !draining.contains(&index);
            let active_requests = node.busy_cores + node.queue.len();
            self.spread_meter.set_in_service(self.now, index, in_service, active_requests);
        }
    }
}
