//! Clients: their arrival, the choice of a router, retries, and the recording of request outcomes.
use super::events::SimulationEvent;
use super::state::{Client, OpenRequest, World};
use crate::checker::RouterRequest;
use crate::fault::InjectedBug;
use crate::results::Counts;
use crate::times::{RUN_START, SECOND, from_milliseconds, from_seconds};
use decision::{Event, Freshness, GroupId, Request, RequestId, Time};
use sessions::SessionKey;

/// Number of retries after which a client's backoff no longer doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;
/// Divisor that gives the maximum jitter of a client's backoff as a fraction of the backoff.
const BACKOFF_JITTER_DIVISOR: i64 = 4;

impl World<'_> {
    pub(super) fn handle_client_arrival(&mut self) {
        if self.now >= self.end() {
            return;
        }
        let rate = self.plan.request_rate * self.load_factor;
        let gap = -(1.0 - self.rng.f64()).ln() / rate * SECOND as f64;
        self.schedule_after(gap as i64 + 1, SimulationEvent::ClientArrived);
        let class = self.draw_class();
        let session = self.rng.u64(0..self.plan.session_count);
        let group = (session % self.plan.groups as u64) as usize;
        let deadline = Time(self.now.0 + from_milliseconds(self.class(class).deadline_ms));
        self.last_client += 1;
        let client = Client { class, group, session, arrived_at: self.now, deadline, retries: 0 };
        self.clients.insert(self.last_client, client);
        self.count_for_client(self.last_client, |counts| counts.offered += 1);
        self.send_client_request(self.last_client);
    }

    fn draw_class(&mut self) -> usize {
        let mut draw = self.rng.f64() * self.total_load_share;
        let drawn = self.plan.classes.iter().position(|class| {
            draw -= class.load_share;
            draw < 0.0
        });
        drawn.unwrap_or(self.plan.classes.len() - 1)
    }

    /// Updates the counts of a client's class and second, unless the client arrived during the warm-up.
    pub(super) fn count_for_client(&mut self, client: u64, update: impl Fn(&mut Counts)) {
        let Some(client) = self.clients.get(&client) else { return };
        let since_start = client.arrived_at.0 - RUN_START.0;
        if since_start < from_seconds(self.plan.warmup_s) {
            return;
        }
        update(&mut self.class_recorders[client.class].counts);
        if let Some(second) = self.second_counts.get_mut((since_start / SECOND) as usize) {
            update(second);
        }
    }

    /// Draws the router that a client sends its request to: any member of the session cluster that the
    /// client's session belongs to.
    fn draw_router(&mut self, session: u64) -> usize {
        let cluster_size = self.plan.cluster_size.max(1).min(self.plan.routers);
        let clusters = self.plan.routers.div_ceil(cluster_size) as u64;
        let first = (session / self.plan.groups as u64 % clusters) as usize * cluster_size;
        first + self.rng.usize(0..cluster_size.min(self.plan.routers - first))
    }

    pub(super) fn send_client_request(&mut self, client_id: u64) {
        let Some(client) = self.clients.get(&client_id) else { return };
        let (class, group, session, deadline) = (client.class, client.group, client.session, client.deadline);
        let router = self.draw_router(session);
        if !self.routers[router].up {
            return self.retry_or_give_up(client_id, None);
        }
        let session_commit = self.required_session_commit(router, class, session);
        let acknowledged_commit = self.checker.acknowledged_commit(session);
        let accepted_at = self.now;
        let simulated = &mut self.routers[router];
        simulated.last_request += 1;
        let request = simulated.last_request;
        let open = OpenRequest {
            client: client_id,
            accepted_at,
            acknowledged_commit,
            attempts: Vec::new(),
            responded: false,
        };
        simulated.open_requests.insert(request, open);
        let idempotent = self.class(class).idempotent;
        self.checker.request_accepted(RouterRequest { router, request }, deadline, idempotent);
        let arrived = Request {
            id: RequestId(request),
            class,
            tenant: 0,
            session: None,
            group: GroupId(group as u32),
            deadline,
            session_commit,
            may_run_partially: false,
        };
        self.handle_router_event(router, Event::RequestArrived(arrived));
    }

    /// Returns the commit position that a session's read must include, as far as the router's session machine
    /// knows it.
    fn required_session_commit(&mut self, router: usize, class: usize, session: u64) -> Option<Time> {
        if self.required_freshness(class) != Freshness::Session
            || self.plan.injected_bug == Some(InjectedBug::IgnoreSessionCommits)
        {
            return None;
        }
        let now = self.session_now();
        self.routers[router].sessions.required_position(SessionKey(session), now)
    }

    /// Schedules a client's retry after a rejection or the kill of its router, or counts the request as
    /// rejected if no retries are left or the retry would come after the deadline.
    pub(super) fn retry_or_give_up(&mut self, client_id: u64, retry_after: Option<i64>) {
        let Some(client) = self.clients.get_mut(&client_id) else { return };
        let doublings = client.retries.min(MAX_BACKOFF_DOUBLINGS);
        let backoff = retry_after.unwrap_or(from_milliseconds(self.plan.client_backoff_ms) << doublings);
        client.retries += 1;
        let jitter = self.rng.i64(0..=backoff / BACKOFF_JITTER_DIVISOR + 1);
        let retry_at = Time(self.now.0 + backoff + jitter);
        if client.retries <= self.plan.client_retries && retry_at < client.deadline {
            self.count_for_client(client_id, |counts| counts.retries += 1);
            return self.schedule_at(retry_at, SimulationEvent::ClientRetried { client: client_id });
        }
        self.count_for_client(client_id, |counts| counts.rejected += 1);
        self.clients.remove(&client_id);
    }

    pub(super) fn record_success(&mut self, client_id: u64) {
        let Some(client) = self.clients.get(&client_id) else { return };
        let latency = self.now.0 - client.arrived_at.0;
        let objective = from_milliseconds(self.class(client.class).latency_objective_ms);
        if client.arrived_at.0 - RUN_START.0 >= from_seconds(self.plan.warmup_s) {
            self.class_recorders[client.class].latency.record(latency);
        }
        let in_time = latency <= objective;
        self.count_for_client(
            client_id,
            |counts| if in_time { counts.in_time += 1 } else { counts.late += 1 },
        );
        self.clients.remove(&client_id);
    }

    pub(super) fn record_failure(&mut self, client_id: u64) {
        self.count_for_client(client_id, |counts| counts.failed += 1);
        self.clients.remove(&client_id);
    }
}
