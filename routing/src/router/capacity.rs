//! This process's share of the capacity of endpoints, and the metrics of endpoints.
use super::actor::{RouterActor, Timer};
use crate::messages::BackendCommand;
use crate::protocol::BackendProtocol;
use decision::{Event, Micros, Time};
use std::cmp::Reverse;

/// Interval between updates of the metrics that are derived from the members.
const MEMBER_METRICS_INTERVAL: Micros = 100_000;

impl<P: BackendProtocol> RouterActor<P> {
    /// Sets the number of processes that share this router's endpoint capacity, probe rate and file
    /// descriptors. Connections beyond this process's share are counted as reserved for the other processes.
    pub(super) fn set_process_count(&mut self, processes: u32) {
        let all = self.resources.limits.max_backend_connections;
        let reserved = all - all / processes.max(1) as usize;
        self.resources.connections.replace_reserved(self.reserved_connections, reserved);
        self.reserved_connections = reserved;
        self.probe_spacing.set_process_count(processes);
        self.process_count = processes;
        self.update_capacity_share();
    }

    /// Sets the number of routers that share the capacity of the endpoints.
    pub(super) fn set_router_count(&mut self, routers: u32) {
        self.router_count = routers;
        self.update_capacity_share();
    }

    /// Notifies the decision state machine of the total number of processes of all routers, which share the
    /// capacity equally.
    fn update_capacity_share(&mut self) {
        self.handle_decision_event(Event::RouterCountChanged(
            self.router_count.max(1).saturating_mul(self.process_count.max(1)),
        ));
    }

    /// Closes the idle connections beyond `max_idle` for each endpoint, because this process is near its
    /// connection limit.
    pub(super) fn trim_idle_connections(&self, max_idle: usize) {
        for endpoint in self.endpoints.values() {
            endpoint.send(BackendCommand::TrimIdle { max_idle });
        }
    }

    /// Updates the metrics that are derived from the members, and schedules the next update.
    pub(super) fn update_member_metrics(&mut self) {
        let Some(metrics) = &self.metrics else { return };
        let now = self.clock.now();
        // With placement, an endpoint may be a member of several subsets. A draining endpoint is counted
        // once.
        let members = self.state_machine.unavailable_member_count();
        let endpoints = self.subsets.as_ref().map_or(members, |s| s.unhealthy_endpoints(members));
        metrics.unhealthy_endpoints.set(endpoints as i64);
        self.timers.push(Reverse((Time(now.0 + MEMBER_METRICS_INTERVAL), Timer::MemberMetrics)));
    }
}
