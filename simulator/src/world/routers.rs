//! Routers: the events and actions of their decision state machines, and their attempts in flight.
use super::events::{
    AttemptConnection, ConnectionState, ProcessEvent, Response, RouterProcess, SimulationEvent,
};
use super::state::{Attempt, UnacknowledgedWrite, World};
use crate::checker::{FinalResponse, RouterRequest, ServedRead};
use crate::node::Job;
use crate::times::{CONNECT_TIMEOUT, RUN_START, SECOND, TICK_INTERVAL, from_milliseconds};
use decision::{Action, Event, MemberId, MemberReport, Outcome, RequestId, Time};
use registry::fleet::Event as EndpointListEvent;
use sessions::SessionKey;
use sessions::machine::Event as SessionEvent;

impl World<'_> {
    pub(super) fn handle_router_event(&mut self, router: usize, event: Event) {
        let mut actions = Vec::new();
        self.routers[router].decision.handle(self.now, event, &mut actions);
        for action in actions {
            self.apply_router_action(router, action);
        }
    }

    fn apply_router_action(&mut self, router: usize, action: Action) {
        match action {
            Action::Send { request, member, timeout, .. } => {
                self.send_attempt(RouterRequest { router, request: request.0 }, member.0 as usize, timeout);
            }
            Action::Cancel { request, attempt } => {
                let epoch = self.routers[router].epoch;
                let job = Job { router, epoch, request: request.0, attempt, class: 0, client: 0 };
                self.schedule_after(0, SimulationEvent::AttemptCancelled(job));
            }
            Action::Reject { request, retry_after } => self.reject_request(router, request, retry_after),
            Action::Fail { request } => self.fail_request(router, request),
            Action::Probe { member } => self.send_probe(router, member.0 as usize),
            Action::SetTimer { after } => {
                let expired =
                    SimulationEvent::Process(self.process(router), ProcessEvent::DecisionTimerExpired);
                self.schedule_after(after, expired);
            }
            Action::Subscribe | Action::Remove { .. } => {}
        }
    }

    fn send_probe(&mut self, router: usize, node: usize) {
        self.count_probe();
        let delay = self.draw_delay(self.routers[router].zone, self.nodes[node].zone);
        let process = self.process(router);
        self.schedule_after(delay, SimulationEvent::ProbeReachedNode { process, node });
    }

    /// Counts a probe in its second, unless that second is part of the warm-up or after the end of the load.
    fn count_probe(&mut self) {
        let second = ((self.now.0 - RUN_START.0) / SECOND) as usize;
        if second as f64 >= self.plan.warmup_s
            && let Some(counts) = self.second_counts.get_mut(second)
        {
            counts.probes += 1;
        }
    }

    pub(super) fn handle_probe_end(
        &mut self,
        router: usize,
        node: usize,
        outcome: Outcome,
        report: MemberReport,
    ) {
        if outcome == Outcome::Ok {
            self.confirm_endpoint(router, node);
        }
        self.handle_router_event(
            router,
            Event::ProbeEnded { member: MemberId(node as u32), outcome, report },
        );
    }

    fn send_attempt(&mut self, key: RouterRequest, node: usize, timeout: i64) {
        let RouterRequest { router, request } = key;
        self.checker.attempt_sent(self.now, key, node);
        let process = self.process(router);
        let Some(open) = self.routers[router].open_requests.get_mut(&request) else { return };
        let (client, attempt) = (open.client, open.attempts.len() as u32);
        open.attempts.push(Attempt { node, sent_at: self.now, in_flight: true });
        let connection = self.take_connection(router, node);
        let (router_zone, node_zone) = (self.routers[router].zone, self.nodes[node].zone);
        self.count_attempt(client, router_zone, node, connection);
        let class = self.clients.get(&client).map_or(0, |client| client.class);
        let job = Job { router, epoch: process.epoch, request, attempt, class, client };
        self.schedule_after(timeout, SimulationEvent::AttemptTimedOut(job));
        let delay = self.draw_delay(router_zone, node_zone);
        if self.is_partitioned(router_zone, node_zone) {
            return self.lose_attempt_in_partition(job, node, connection);
        }
        let handshake = match connection {
            AttemptConnection::New => 2 * delay + from_milliseconds(self.plan.handshake_ms),
            AttemptConnection::Reused { .. } => 0,
        };
        let reached = SimulationEvent::AttemptReachedNode { job, node, connection };
        self.schedule_after(delay + handshake, reached);
    }

    /// Closes a router's expired idle connections to a node, and takes the most recently used one that is
    /// left, if any.
    fn take_connection(&mut self, router: usize, node: usize) -> AttemptConnection {
        let (now, idle_timeout) = (self.now, from_milliseconds(self.plan.idle_connection_timeout_ms));
        let idle = self.routers[router].idle_connections.entry(node).or_default();
        let before = idle.len();
        idle.retain(|last_used| now.0 - last_used.0 < idle_timeout);
        let expired = before - idle.len();
        let reused = idle.pop().is_some();
        let node = &mut self.nodes[node];
        node.connections = node.connections.saturating_sub(expired);
        if reused { AttemptConnection::Reused { node_epoch: node.epoch } } else { AttemptConnection::New }
    }

    fn count_attempt(&mut self, client: u64, router_zone: usize, node: usize, connection: AttemptConnection) {
        let to_primary = self.nodes[node].primary;
        let cross_zone = router_zone != self.nodes[node].zone;
        self.count_for_client(client, |counts| {
            counts.attempts += 1;
            counts.primary_attempts += u64::from(to_primary);
            counts.cross_zone_attempts += u64::from(cross_zone);
            counts.handshakes += u64::from(connection == AttemptConnection::New);
        });
    }

    /// Loses an attempt that is sent into a network partition: establishing a new connection fails, and on an
    /// existing connection no response ever arrives.
    fn lose_attempt_in_partition(&mut self, job: Job, node: usize, connection: AttemptConnection) {
        if connection != AttemptConnection::New {
            return;
        }
        let response = Response {
            job,
            node,
            outcome: Outcome::ConnectFailed,
            commit: None,
            data_position: Time(0),
            connection: ConnectionState::Closed,
        };
        self.schedule_after(CONNECT_TIMEOUT, SimulationEvent::ResponseArrived(response));
    }

    fn reject_request(&mut self, router: usize, request: RequestId, retry_after: Option<i64>) {
        if let Some(client) = self.respond_without_node(router, request.0, FinalResponse::Rejected) {
            self.retry_or_give_up(client, retry_after);
        }
    }

    fn fail_request(&mut self, router: usize, request: RequestId) {
        if let Some(client) = self.respond_without_node(router, request.0, FinalResponse::Other) {
            self.record_failure(client);
        }
    }

    /// Records a final response by the router itself. Returns the client, unless the request already had its
    /// final response.
    fn respond_without_node(&mut self, router: usize, request: u64, response: FinalResponse) -> Option<u64> {
        let open = self.routers[router].open_requests.get_mut(&request)?;
        if std::mem::replace(&mut open.responded, true) {
            return None;
        }
        let client = open.client;
        self.checker.request_completed(self.now, RouterRequest { router, request }, response);
        self.remove_if_finished(router, request);
        Some(client)
    }

    fn remove_if_finished(&mut self, router: usize, request: u64) {
        let requests = &mut self.routers[router].open_requests;
        let finished = requests
            .get(&request)
            .is_some_and(|open| open.responded && open.attempts.iter().all(|attempt| !attempt.in_flight));
        if finished {
            requests.remove(&request);
        }
    }

    pub(super) fn handle_response(&mut self, response: Response) {
        let Response { job, node, outcome, commit, data_position, connection } = response;
        let open = connection == ConnectionState::Open;
        let running = self.is_running(RouterProcess { router: job.router, epoch: job.epoch });
        let in_flight_at_router = running && self.is_in_flight(job);
        if open && in_flight_at_router {
            let idle = &mut self.routers[job.router].idle_connections;
            idle.entry(node).or_default().push(self.now);
        } else if open {
            // The attempt has already ended at the router, so the connection is closed.
            let node = &mut self.nodes[node];
            node.connections = node.connections.saturating_sub(1);
        }
        if in_flight_at_router {
            if outcome == Outcome::Ok {
                self.confirm_endpoint(job.router, node);
            }
            self.end_attempt(job, outcome, commit, Some(data_position));
        }
    }

    fn is_in_flight(&self, job: Job) -> bool {
        let open = self.routers[job.router].open_requests.get(&job.request);
        open.and_then(|open| open.attempts.get(job.attempt as usize)).is_some_and(|attempt| attempt.in_flight)
    }

    /// Ends an attempt at the router. A successful attempt completes the request, unless the request is
    /// already complete.
    pub(super) fn end_attempt(
        &mut self,
        job: Job,
        outcome: Outcome,
        commit: Option<Time>,
        data_position: Option<Time>,
    ) {
        let Job { router, request, attempt, epoch, .. } = job;
        if !self.is_running(RouterProcess { router, epoch }) || !self.is_in_flight(job) {
            return;
        }
        if outcome.never_ran() {
            self.checker.attempt_not_executed(RouterRequest { router, request });
        }
        let Some(open) = self.routers[router].open_requests.get_mut(&request) else { return };
        let ended = &mut open.attempts[attempt as usize];
        ended.in_flight = false;
        let node = ended.node;
        let completes_request = outcome == Outcome::Ok && !open.responded;
        open.responded |= completes_request;
        let request_ended = open.responded;
        if completes_request {
            self.record_response(job, commit, data_position.unwrap_or(self.now));
        }
        let event = Event::AttemptEnded {
            request: RequestId(request),
            attempt,
            member: MemberId(node as u32),
            outcome,
            request_ended,
            response_report: MemberReport::default(),
            commit,
            load_report: MemberReport::default(),
        };
        self.handle_router_event(router, event);
        self.remove_if_finished(router, request);
    }

    /// Forwards a response to the client. The response to a write waits until session peers have acknowledged
    /// the commit.
    fn record_response(&mut self, job: Job, commit: Option<Time>, data_position: Time) {
        let key = RouterRequest { router: job.router, request: job.request };
        let Some(open) = self.routers[key.router].open_requests.get(&key.request) else { return };
        let client_id = open.client;
        let client = self.clients.get(&client_id);
        let (class, session) = client.map_or((0, 0), |client| (client.class, client.session));
        if let Some(commit) = commit {
            let write = UnacknowledgedWrite { client: client_id, session, commit };
            self.routers[key.router].unacknowledged_writes.insert(key.request, write);
            let committed =
                SessionEvent::Commit { ack: key.request, session: SessionKey(session), committed_at: commit };
            return self.handle_session_event(key.router, committed);
        }
        let read = ServedRead {
            freshness: self.required_freshness(class),
            accepted_at: open.accepted_at,
            sent_at: open.attempts[job.attempt as usize].sent_at,
            acknowledged_commit: open.acknowledged_commit,
            data_position,
        };
        self.checker.read_served(self.now, read);
        self.checker.request_completed(self.now, key, FinalResponse::Other);
        self.record_success(client_id);
    }

    /// Sends tick events to a router's endpoint list and session machine, and connects to session peers.
    pub(super) fn tick(&mut self, process: RouterProcess) {
        let router = process.router;
        if !self.registry_outage {
            self.handle_endpoint_list_event(router, EndpointListEvent::RegistryResponded);
        }
        self.handle_endpoint_list_event(router, EndpointListEvent::Tick);
        self.handle_session_event(router, SessionEvent::Tick);
        for peer in self.session_cluster(router).filter(|peer| *peer != router) {
            self.connect_peer(router, peer);
        }
        self.schedule_after(TICK_INTERVAL, SimulationEvent::Process(process, ProcessEvent::Ticked));
    }
}
