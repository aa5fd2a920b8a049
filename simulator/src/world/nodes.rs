//! Nodes: the attempts that they receive, serve and reject, their crashes and restarts, and the promotion of
//! replicas.
use super::events::{
    AttemptConnection, AvailabilityChange, ConnectionState, ProcessEvent, Response, RouterProcess,
    SimulationEvent,
};
use super::state::{Attempt, World};
use crate::fault::InjectedBug;
use crate::node::Job;
use crate::times::{CONNECT_TIMEOUT, SECOND, from_milliseconds, from_seconds};
use decision::{MemberReport, Outcome, Time};
use std::cmp::Reverse;

/// Number of requests per second by which a node that warms up may exceed its limit, since the number of
/// arrivals varies by chance.
const WARMUP_OVERLOAD_TOLERANCE: f64 = 10.0;
/// Fixed part of a request's service time, as a share of the class's mean.
const FIXED_SERVICE_SHARE: f64 = 0.4;
/// Mean of the exponentially distributed rest of the service time, as a share of the class's mean.
const RANDOM_SERVICE_SHARE: f64 = 0.6;
/// Factor by which a gray failure lengthens the service time of the requests that it affects.
const GRAY_SLOWDOWN: f64 = 10.0;

impl World<'_> {
    /// Ends an attempt without serving it, and sends the outcome to the router.
    pub(super) fn reject_attempt(
        &mut self,
        job: Job,
        node: usize,
        outcome: Outcome,
        connection: ConnectionState,
    ) {
        let misreported = outcome == Outcome::Reset
            && self.plan.injected_bug == Some(InjectedBug::ReportResetsAsConnectFailures);
        let outcome = if misreported { Outcome::ConnectFailed } else { outcome };
        let delay = self.draw_delay(self.nodes[node].zone, self.routers[job.router].zone);
        let response = Response { job, node, outcome, commit: None, data_position: Time(0), connection };
        self.schedule_after(delay, SimulationEvent::ResponseArrived(response));
    }

    pub(super) fn receive_attempt(&mut self, job: Job, index: usize, connection: AttemptConnection) {
        let node = &mut self.nodes[index];
        match connection {
            AttemptConnection::New if !node.up => {
                return self.reject_attempt(job, index, Outcome::ConnectFailed, ConnectionState::Closed);
            }
            AttemptConnection::Reused { node_epoch } if !node.up || node.epoch != node_epoch => {
                return self.reject_attempt(job, index, Outcome::Reset, ConnectionState::Closed);
            }
            _ => {}
        }
        if node.hung {
            return;
        }
        if connection == AttemptConnection::New {
            if node.connections >= self.plan.max_connections {
                return self.reject_attempt(job, index, Outcome::Rejected, ConnectionState::Closed);
            }
            node.connections += 1;
        }
        if self.crash_if_overloaded(index) {
            return self.reject_attempt(job, index, Outcome::Reset, ConnectionState::Closed);
        }
        self.admit_job(job, index);
    }

    /// Serves a request, queues it, or rejects it and leaves its connection open.
    fn admit_job(&mut self, job: Job, index: usize) {
        let write = self.class(job.class).is_write();
        let node = &mut self.nodes[index];
        if node.failing {
            return self.reject_attempt(job, index, Outcome::Error, ConnectionState::Open);
        }
        if write && !node.primary {
            return self.reject_attempt(job, index, Outcome::NotEligible, ConnectionState::Open);
        }
        if node.busy_cores < self.plan.cores {
            node.busy_cores += 1;
            self.spread_meter.request_started(self.now, index);
            self.start_job(job, index);
        } else if node.queue.len() < self.plan.queue_capacity {
            node.queue.push_back(job);
            self.spread_meter.request_started(self.now, index);
        } else {
            self.reject_attempt(job, index, Outcome::Rejected, ConnectionState::Open);
        }
    }

    fn capacity_share(&self, node: usize) -> f64 {
        let duration = from_seconds(self.plan.slow_start_s);
        self.nodes[node].capacity_share(self.now, self.plan.slow_start_initial_share, duration)
    }

    /// Counts an arrival at a node that warms up, and crashes the node if there were too many within a
    /// second. Returns whether it crashed.
    fn crash_if_overloaded(&mut self, index: usize) -> bool {
        let capacity_share = self.capacity_share(index);
        if capacity_share >= 1.0 {
            return false;
        }
        let now = self.now;
        let arrivals = &mut self.nodes[index].recent_arrivals;
        arrivals.push_back(now);
        while arrivals.pop_front_if(|arrived_at| now.0 - arrived_at.0 > SECOND).is_some() {}
        let arrivals = arrivals.len() as f64;
        let node_capacity = self.plan.capacity() / self.nodes.len() as f64;
        let limit = self.plan.overload_factor * node_capacity * capacity_share + WARMUP_OVERLOAD_TOLERANCE;
        if arrivals <= limit {
            return false;
        }
        self.checker.node_overloaded_while_warming_up(now, index);
        self.crash_node(index);
        self.update_replicas_in_service();
        true
    }

    fn start_job(&mut self, job: Job, index: usize) {
        let exponential = -(1.0 - self.rng.f64()).max(1e-9).ln();
        let spread = FIXED_SERVICE_SHARE + RANDOM_SERVICE_SHARE * exponential;
        let gray_draw = self.rng.f64();
        let class = self.class(job.class);
        let node = &self.nodes[index];
        let mut service_time = class.service_ms * 1000.0 * spread;
        service_time *= node.slowdown / self.capacity_share(index);
        if gray_draw < node.gray_share {
            service_time *= GRAY_SLOWDOWN;
        }
        if class.is_write() {
            service_time *= node.disk_slowdown;
        }
        let finished = SimulationEvent::JobFinished { job, node: index, node_epoch: node.epoch };
        self.schedule_after(service_time as i64, finished);
    }

    pub(super) fn finish_job(&mut self, job: Job, index: usize, node_epoch: u32) {
        if self.nodes[index].epoch != node_epoch {
            return;
        }
        self.spread_meter.request_ended(self.now, index);
        self.start_next_job(index);
        if self.nodes[index].hung {
            return;
        }
        let replication_delay = from_milliseconds(self.plan.replication_delay_ms);
        let data_position = self.nodes[index].position(self.now, replication_delay);
        let commit = self.class(job.class).is_write().then_some(self.now);
        if commit.is_some() {
            self.checker.write_executed(self.now, job.client);
            self.replicate_commit(index);
        }
        let (node_zone, router_zone) = (self.nodes[index].zone, self.routers[job.router].zone);
        if self.is_partitioned(node_zone, router_zone) {
            return;
        }
        let delay = self.draw_delay(node_zone, router_zone);
        let response = Response {
            job,
            node: index,
            outcome: Outcome::Ok,
            commit,
            data_position,
            connection: ConnectionState::Open,
        };
        self.schedule_after(delay, SimulationEvent::ResponseArrived(response));
    }

    /// Frees a core, and starts the next queued request on it.
    fn start_next_job(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.busy_cores -= 1;
        if let Some(next) = node.queue.pop_front() {
            node.busy_cores += 1;
            self.start_job(next, index);
        }
    }

    fn replicate_commit(&mut self, primary: usize) {
        let delay = from_milliseconds(self.plan.replication_delay_ms);
        let commit = self.now;
        for node in self.group_members(self.nodes[primary].group).filter(|node| *node != primary) {
            self.schedule_after(delay, SimulationEvent::CommitReachedReplica { node, commit });
        }
    }

    pub(super) fn receive_commit(&mut self, node: usize, commit: Time) {
        let node = &mut self.nodes[node];
        if !node.primary {
            node.receive_commit(self.now, commit, self.plan.apply_us as i64);
        }
    }

    pub(super) fn respond_to_probe(&mut self, process: RouterProcess, index: usize) {
        let (router_zone, node_zone) = (self.routers[process.router].zone, self.nodes[index].zone);
        let partitioned = self.is_partitioned(router_zone, node_zone);
        let network_delay = self.draw_delay(router_zone, node_zone);
        let replication_delay = from_milliseconds(self.plan.replication_delay_ms);
        let node = &mut self.nodes[index];
        let mut report = MemberReport::default();
        let (outcome, delay) = if partitioned || node.hung {
            (Outcome::TimedOut, CONNECT_TIMEOUT)
        } else if !node.up {
            (Outcome::ConnectFailed, network_delay)
        } else {
            let position = node.position(self.now, replication_delay);
            report = MemberReport { primary: Some(node.primary), position: Some(position) };
            (Outcome::Ok, network_delay)
        };
        let ended = ProcessEvent::ProbeEnded { node: index, outcome, report };
        self.schedule_after(delay, SimulationEvent::Process(process, ended));
    }

    /// Ends a node's process and resets the connections to it.
    pub(super) fn crash_node(&mut self, index: usize) {
        self.nodes[index].stop();
        self.reset_connections(index);
    }

    /// Resets every connection to a node, which ends the attempts in flight on them.
    pub(super) fn reset_connections(&mut self, index: usize) {
        self.nodes[index].connections = 0;
        self.routers.iter_mut().for_each(|router| _ = router.idle_connections.remove(&index));
        for job in self.attempts_in_flight_to(index) {
            self.reject_attempt(job, index, Outcome::Reset, ConnectionState::Closed);
        }
    }

    /// Returns the attempts in flight to a node, sorted by router, request and attempt, since the iteration
    /// order of hash maps is arbitrary.
    fn attempts_in_flight_to(&self, index: usize) -> Vec<Job> {
        let mut jobs = Vec::new();
        for (router, simulated) in self.routers.iter().enumerate() {
            for (request, open) in &simulated.open_requests {
                let to_node = |attempt: &Attempt| attempt.node == index && attempt.in_flight;
                let attempts = open.attempts.iter().enumerate().filter(|(_, attempt)| to_node(attempt));
                jobs.extend(attempts.map(|(attempt, _)| Job {
                    router,
                    epoch: simulated.epoch,
                    request: *request,
                    attempt: attempt as u32,
                    class: 0,
                    client: 0,
                }));
            }
        }
        jobs.sort_unstable_by_key(|job| (job.router, job.request, job.attempt));
        jobs
    }

    /// Promotes the replica with the highest applied position, if the group has no running primary. If no
    /// replica can be promoted, retries after the failover time.
    pub(super) fn promote_replica(&mut self, group: usize) {
        let members = self.group_members(group);
        if members.clone().any(|node| self.nodes[node].primary && self.nodes[node].up) {
            return;
        }
        let candidates = members.clone().filter(|node| self.nodes[*node].up && !self.nodes[*node].hung);
        let most_advanced =
            candidates.max_by_key(|node| (self.nodes[*node].applied_position, Reverse(*node)));
        let Some(promoted) = most_advanced else { return self.schedule_promotion(group) };
        members.for_each(|node| self.nodes[node].primary = false);
        self.nodes[promoted].primary = true;
        self.nodes[promoted].unapplied.clear();
    }

    pub(super) fn schedule_promotion(&mut self, group: usize) {
        let promotion = SimulationEvent::Availability(AvailabilityChange::PrimaryPromotionDue { group });
        self.schedule_after(from_milliseconds(self.plan.failover_ms), promotion);
    }

    /// Restarts a crashed node, unless it already runs or has crashed again since the restart was scheduled.
    pub(super) fn restart_node(&mut self, index: usize, epoch: u32) {
        let node = &mut self.nodes[index];
        if node.up || node.epoch != epoch {
            return;
        }
        // The node applies the replication log before it serves.
        node.unapplied.clear();
        node.applied_position = Time(self.now.0 - from_milliseconds(self.plan.replication_delay_ms));
        node.start(self.now);
    }
}
