//! Faults: the choice of their targets, and how they begin and end.
use super::discovery::RegisteredState;
use super::events::{AvailabilityChange, SimulationEvent};
use super::state::{PeerConnection, World};
use crate::fault::{Fault, FaultKind};
use crate::node::Node;
use crate::times::{from_milliseconds, from_seconds};

/// Minimum time from a router's kill to its restart, in microseconds.
const MIN_ROUTER_RESTART_DELAY: i64 = 50_000;
/// Time from the end of a registry outage to the delivery of the delayed changes, in microseconds.
const WATCH_RECOVERY_DELAY: i64 = 1000;

impl World<'_> {
    pub(super) fn begin_fault(&mut self, fault: usize) {
        let planned = &self.plan.faults[fault];
        let duration = from_seconds(planned.duration_s);
        let targets = self.draw_targets(planned);
        targets.iter().for_each(|target| self.begin_fault_at(planned, *target, duration));
        self.begin_global_fault(planned);
        self.fault_targets.insert(fault, targets);
        self.schedule_after(
            duration,
            SimulationEvent::Availability(AvailabilityChange::FaultEnded { fault }),
        );
    }

    /// Draws the nodes or routers that a fault affects, in random order.
    fn draw_targets(&mut self, fault: &Fault) -> Vec<usize> {
        let mut targets = self.possible_targets(fault.kind);
        self.rng.shuffle(&mut targets);
        if fault.count > 0 {
            targets.truncate(fault.count);
        }
        if fault.kind == FaultKind::CrashZone {
            let zone = self.rng.usize(0..self.plan.zones);
            targets = self.nodes_where(|node| node.zone == zone && node.up);
        }
        targets
    }

    fn possible_targets(&self, kind: FaultKind) -> Vec<usize> {
        match kind {
            FaultKind::CrashPrimary => self.nodes_where(|node| node.primary),
            FaultKind::CrashReplica
            | FaultKind::Hang
            | FaultKind::FastErrors
            | FaultKind::Gray
            | FaultKind::SlowDisk
            | FaultKind::Drain => self.nodes_where(|node| !node.primary && node.up),
            FaultKind::RestartRouters => {
                (0..self.plan.routers).filter(|router| self.routers[*router].up).collect()
            }
            _ => self.nodes_where(|_| true),
        }
    }

    fn nodes_where(&self, predicate: impl Fn(&Node) -> bool) -> Vec<usize> {
        (0..self.nodes.len()).filter(|node| predicate(&self.nodes[*node])).collect()
    }

    fn begin_fault_at(&mut self, fault: &Fault, target: usize, duration: i64) {
        match fault.kind {
            FaultKind::CrashPrimary | FaultKind::CrashZone => self.crash_with_failover(target, duration),
            FaultKind::CrashReplica => {
                self.crash_node(target);
                self.schedule_node_restart(target, duration);
            }
            FaultKind::Hang => self.nodes[target].hung = true,
            FaultKind::FastErrors => self.nodes[target].failing = true,
            FaultKind::Slow => self.nodes[target].slowdown = fault.severity,
            FaultKind::Gray => self.nodes[target].gray_share = fault.severity.min(1.0),
            FaultKind::SlowDisk => self.nodes[target].disk_slowdown = fault.severity,
            FaultKind::ResetConnections => self.reset_connections(target),
            FaultKind::Drain => self.register_state(target, RegisteredState::Draining),
            FaultKind::RestartRouters => self.kill_router(target, duration),
            FaultKind::Partition | FaultKind::RegistryOutage | FaultKind::LoadSurge => {}
        }
    }

    /// Crashes a node and schedules its restart. If the node is a primary, a replica is promoted before the
    /// restart.
    fn crash_with_failover(&mut self, node: usize, duration: i64) {
        let (group, primary) = (self.nodes[node].group, self.nodes[node].primary);
        self.crash_node(node);
        if primary {
            self.schedule_promotion(group);
        }
        self.schedule_node_restart(node, duration.max(from_milliseconds(self.plan.failover_ms) + 1));
    }

    fn schedule_node_restart(&mut self, node: usize, delay: i64) {
        let epoch = self.nodes[node].epoch;
        self.schedule_after(
            delay,
            SimulationEvent::Availability(AvailabilityChange::NodeRestartDue { node, epoch }),
        );
    }

    fn begin_global_fault(&mut self, fault: &Fault) {
        match fault.kind {
            FaultKind::LoadSurge => self.load_factor = fault.severity,
            FaultKind::RegistryOutage => self.registry_outage = true,
            FaultKind::Partition => {
                self.partitioned_zone = Some(self.rng.usize(0..self.plan.zones));
                self.disconnect_peers_where(|world, PeerConnection { from, to }| {
                    world.is_partitioned(world.routers[*from].zone, world.routers[*to].zone)
                });
            }
            _ => {}
        }
    }

    pub(super) fn end_fault(&mut self, fault: usize) {
        let kind = self.plan.faults[fault].kind;
        let targets = self.fault_targets.remove(&fault).unwrap_or_default();
        targets.into_iter().for_each(|target| self.end_fault_at(kind, target));
        match kind {
            FaultKind::LoadSurge => self.load_factor = 1.0,
            FaultKind::Partition => self.partitioned_zone = None,
            FaultKind::RegistryOutage => self.end_registry_outage(),
            _ => {}
        }
    }

    fn end_fault_at(&mut self, kind: FaultKind, target: usize) {
        match kind {
            FaultKind::Hang => self.end_hang(target),
            FaultKind::FastErrors => self.nodes[target].failing = false,
            FaultKind::Slow => self.nodes[target].slowdown = 1.0,
            FaultKind::Gray => self.nodes[target].gray_share = 0.0,
            FaultKind::SlowDisk => self.nodes[target].disk_slowdown = 1.0,
            FaultKind::Drain => self.register_state(target, RegisteredState::InService),
            _ => {}
        }
    }

    /// Ends a node's hang. The requests that the node had accepted get no response; their connections are
    /// reset.
    fn end_hang(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.hung = false;
        node.busy_cores = 0;
        node.epoch += 1;
        node.queue.clear();
        self.reset_connections(index);
    }

    fn end_registry_outage(&mut self) {
        self.registry_outage = false;
        for delayed in std::mem::take(&mut self.delayed_changes) {
            let (router, changes) = (delayed.router, delayed.changes);
            let arrival = SimulationEvent::RegistryChangesArrived { router, changes };
            self.schedule_after(WATCH_RECOVERY_DELAY, arrival);
        }
    }

    /// Kills a router. Its clients retry idempotent requests; all other requests of these clients
    /// count as failed.
    fn kill_router(&mut self, router: usize, duration: i64) {
        let clients = self.clients_waiting_at(router);
        let killed = &mut self.routers[router];
        killed.up = false;
        killed.epoch += 1;
        killed.open_requests.clear();
        killed.unacknowledged_writes.clear();
        killed.idle_connections.clear();
        self.checker.router_killed(router);
        self.disconnect_peers_where(|_, connection| connection.from == router || connection.to == router);
        for client_id in clients {
            let Some(client) = self.clients.get(&client_id) else { continue };
            if self.class(client.class).idempotent {
                self.retry_or_give_up(client_id, None);
            } else {
                self.record_failure(client_id);
            }
        }
        let restart = SimulationEvent::RouterRestartDue { router };
        self.schedule_after(duration.max(MIN_ROUTER_RESTART_DELAY), restart);
    }

    /// Returns the clients that wait for a response of a router, sorted by request number, since the
    /// iteration order of hash maps is arbitrary.
    fn clients_waiting_at(&self, router: usize) -> Vec<u64> {
        let router = &self.routers[router];
        let open = router.open_requests.iter().map(|(request, open)| (*request, open.client));
        let writes = router.unacknowledged_writes.iter().map(|(request, write)| (*request, write.client));
        let mut requests: Vec<(u64, u64)> = open.chain(writes).collect();
        requests.sort_unstable();
        requests.dedup_by_key(|(_, client)| *client);
        requests.into_iter().map(|(_, client)| client).collect()
    }
}
