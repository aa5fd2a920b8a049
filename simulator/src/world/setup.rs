//! Construction of the simulated fleet, and the start and restart of its routers.
use super::discovery::{RegisteredState, registry_item};
use super::events::{AvailabilityChange, EventQueue, ProcessEvent, SimulationEvent};
use super::state::{ClassRecorder, JournalEntry, SimulatedRouter, World};
use crate::checker::Checker;
use crate::node::Node;
use crate::plan::Plan;
use crate::results::Counts;
use crate::spread_meter::SpreadMeter;
use crate::times::{RUN_START, SECOND, SESSION_LEASE_DURATION, TICK_INTERVAL, from_seconds};
use decision::{Router, Time};
use fastrand::Rng;
use registry::fleet::{Fleet, Settings as EndpointListSettings};
use registry::machine::{
    Event as WatchEvent, Item, Machine as RegistryWatch, Settings as RegistryWatchSettings,
};
use sessions::machine::{Event as SessionEvent, Instance, Machine as Sessions, Settings as SessionSettings};
use std::collections::{BTreeSet, HashMap};

/// Revision of the registry at the start of a run.
const INITIAL_REVISION: u64 = 1;

impl<'p> World<'p> {
    pub(super) fn new(plan: &'p Plan) -> World<'p> {
        let mut world = World::without_routers(plan);
        for router in 0..plan.routers {
            let router = world.build_router(router, router % plan.zones, 0, Vec::new());
            world.routers.push(router);
        }
        (0..plan.routers).for_each(|router| world.start_router(router));
        world.update_replicas_in_service();
        world.schedule_at(Time(RUN_START.0 + 1), SimulationEvent::ClientArrived);
        for (fault, planned) in plan.faults.iter().enumerate() {
            let begin = Time(RUN_START.0 + from_seconds(planned.start_s));
            world.schedule_at(begin, SimulationEvent::Availability(AvailabilityChange::FaultBegan { fault }));
        }
        world
    }

    fn without_routers(plan: &'p Plan) -> World<'p> {
        let nodes = build_nodes(plan);
        let groups: Vec<usize> = nodes.iter().map(|node| node.group).collect();
        let counted_from = Time(RUN_START.0 + from_seconds(plan.warmup_s));
        let counted_seconds = (plan.duration_s - plan.warmup_s) as usize;
        World {
            plan,
            rng: Rng::with_seed(plan.seed),
            now: RUN_START,
            event_queue: EventQueue::default(),
            event_count: 0,
            nodes,
            routers: Vec::new(),
            clients: HashMap::new(),
            last_client: 0,
            peer_connections: BTreeSet::new(),
            partitioned_zone: None,
            load_factor: 1.0,
            registry_outage: false,
            delayed_changes: Vec::new(),
            registry_revision: INITIAL_REVISION,
            fault_targets: HashMap::new(),
            checker: Checker::default(),
            class_recorders: plan.classes.iter().map(|_| ClassRecorder::default()).collect(),
            second_counts: vec![Counts::default(); plan.duration_s.ceil() as usize],
            spread_meter: SpreadMeter::new(counted_from, counted_seconds, &groups),
            total_load_share: plan.classes.iter().map(|class| class.load_share).sum(),
        }
    }

    pub(super) fn build_router(
        &mut self,
        router: usize,
        zone: usize,
        epoch: u32,
        journal: Vec<JournalEntry>,
    ) -> SimulatedRouter {
        let recovered = journal.iter().map(|entry| (entry.session, entry.commit));
        let sessions = Sessions::new(session_settings(router, epoch), recovered, None);
        let registry_watch = RegistryWatchSettings { restored_after: 10 * SECOND, max_tombstones: 1000 };
        SimulatedRouter {
            zone,
            up: true,
            epoch,
            decision: Router::new(self.plan.router_settings(zone), self.rng.u64(..)),
            sessions,
            journal,
            unacknowledged_writes: HashMap::new(),
            last_request: 0,
            open_requests: HashMap::new(),
            idle_connections: HashMap::new(),
            registry_watch: RegistryWatch::new(registry_watch),
            endpoint_list: Fleet::new(endpoint_list_settings()),
        }
    }

    /// Starts a router: loads the registry's snapshot, lists the session peers, and schedules the first tick.
    pub(super) fn start_router(&mut self, router: usize) {
        let snapshot = WatchEvent::Snapshot {
            endpoint: 0,
            cluster: 1,
            revision: self.registry_revision,
            items: self.registry_items(),
        };
        self.handle_watch_event(router, snapshot);
        let peers = self.session_cluster(router).map(|peer| peer as Instance).collect();
        self.handle_session_event(router, SessionEvent::PeersListed { peers });
        let process = self.process(router);
        let first_tick = Time(self.now.0 + self.rng.i64(0..TICK_INTERVAL));
        self.schedule_at(first_tick, SimulationEvent::Process(process, ProcessEvent::Ticked));
    }

    /// Returns the registry's content, in which the nodes that a fault drains are marked as draining.
    fn registry_items(&self) -> Vec<Item> {
        let draining = self.draining_nodes();
        let item = |(index, node): (usize, &Node)| {
            if draining.contains(&index) {
                registry_item(index, node, RegisteredState::Draining, self.registry_revision)
            } else {
                registry_item(index, node, RegisteredState::InService, INITIAL_REVISION)
            }
        };
        self.nodes.iter().enumerate().map(item).collect()
    }

    /// Restarts a killed router, which recovers its sessions from the journal.
    pub(super) fn restart_router(&mut self, router: usize) {
        let killed = &mut self.routers[router];
        let (zone, epoch, journal) = (killed.zone, killed.epoch, std::mem::take(&mut killed.journal));
        self.routers[router] = self.build_router(router, zone, epoch, journal);
        self.start_router(router);
    }
}

fn build_nodes(plan: &Plan) -> Vec<Node> {
    let members = |group| (0..=plan.replicas).map(move |member| (group, member));
    let node = |(group, member)| Node::new(group, (group + member) % plan.zones, member == 0);
    (0..plan.groups).flat_map(members).map(node).collect()
}

fn session_settings(router: usize, epoch: u32) -> SessionSettings {
    SessionSettings {
        instance: router as Instance,
        incarnation: u64::from(epoch) + 1,
        lease: SESSION_LEASE_DURATION,
        max_buffered_commits: 4096,
        max_sessions: 100_000,
        durable: true,
        incomplete: false,
    }
}

fn endpoint_list_settings() -> EndpointListSettings {
    EndpointListSettings {
        allow: vec![],
        deny: vec![],
        max_fresh_age: 10 * SECOND,
        max_usable_age: None,
        mass_removal_share: 0.5,
        mass_removal_window: 10 * SECOND,
        mass_removal_delay: 60 * SECOND,
    }
}
