//! Request admission: arrival, the decision to forward, queue or reject, the queue, and the final response.
use super::{Action, Freshness, GroupId, Idempotency, MemberId, Micros, Outcome, PendingRequest, Request};
use super::{RequestId, Router, SessionCommitSource, Time};

/// The number of errors, from different members if possible, after which a request itself is considered
/// faulty and is not retried.
const MAX_ERRORS: usize = 2;
/// Late responses are awaited only in classes whose `late_weight_share` is at least this.
const MIN_LATE_WEIGHT_SHARE: f64 = 0.4;
/// Retry budget earned by each arriving request, which limits retries to this share of the traffic.
const RETRY_BUDGET_RATIO: f64 = 0.2;
/// The largest retry budget that can be saved for periods with more failures.
pub(super) const MAX_RETRY_BUDGET: f64 = 20.0;
/// The number of distinct ratios of timeout to deadline that are counted, to distinguish a client's first try
/// from its retries.
const MAX_TIMEOUT_RATIOS: usize = 16;
/// All counts are halved when one exceeds this, so that a change of the clients' timeouts is detected
/// eventually.
const MAX_TIMEOUT_COUNT: u32 = 1000;

pub(super) enum Decision {
    Forward(MemberId),
    Queue,
    Reject,
}

impl Router {
    pub(super) fn on_request(&mut self, mut request: Request) {
        self.retry_budget = (self.retry_budget + RETRY_BUDGET_RATIO).min(MAX_RETRY_BUDGET);
        if self.settings.session_commit_source == SessionCommitSource::RememberedByRouter {
            let commit = request.session.and_then(|s| self.session_commits.get(&(request.group, s)).copied());
            request.session_commit = commit.max(self.minimum_position);
        }
        let waited = self.time_since_first_try(request.class, request.deadline.0 - self.now.0);
        let id = request.id;
        let pending = PendingRequest {
            request,
            arrived_at: self.now,
            first_try_at: Time(self.now.0 - waited),
            admission_draw: self.rng.f64(),
            ..Default::default()
        };
        self.requests.insert(id, pending);
        self.dispatch(id);
    }

    pub(super) fn shorten_deadline(&mut self, id: RequestId, deadline: Time) {
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.request.deadline = pending.request.deadline.min(deadline);
        }
    }

    /// Estimates how long ago the client first sent the request. All first tries have the same ratio of
    /// timeout to class deadline, which is the most common one. Any other ratio marks a client's retry: that
    /// client has already waited for the part of the deadline that its timeout lacks.
    fn time_since_first_try(&mut self, class: usize, timeout: Micros) -> Micros {
        let deadline = self.settings.classes[class].deadline.max(1);
        let ratio = timeout as f64 / deadline as f64;
        let tolerance = 3.0 * self.settings.min_event_interval as f64 / deadline as f64;
        let ratios = &mut self.timeout_ratios;
        let index = ratios.iter().position(|r| (r.0 - ratio).abs() <= tolerance).unwrap_or_else(|| {
            if ratios.len() == MAX_TIMEOUT_RATIOS {
                ratios.sort_unstable_by_key(|r| u32::MAX - r.1);
                ratios.pop();
            }
            ratios.push((ratio, 0));
            ratios.len() - 1
        });
        ratios[index].1 += 1;
        let is_over_limit = ratios.iter().any(|r| r.1 > MAX_TIMEOUT_COUNT);
        ratios.iter_mut().filter(|_| is_over_limit).for_each(|r| r.1 /= 2);
        let is_most_common = ratios.iter().all(|r| r.1 <= ratios[index].1);
        if is_most_common { 0 } else { (deadline - timeout).max(0) }
    }

    /// Forwards, queues or rejects a request.
    pub(super) fn dispatch(&mut self, id: RequestId) {
        match self.decide(id) {
            Decision::Forward(member) => self.send(id, member),
            Decision::Queue => self.queue(id),
            Decision::Reject => self.reject(id),
        }
    }

    fn decide(&mut self, id: RequestId) -> Decision {
        let Some(pending) = self.requests.get(&id) else { return Decision::Queue };
        let usual_latency = self.latency_ewma[pending.request.class] as i64;
        let expected_latency = if pending.attempts.is_empty() { usual_latency } else { 0 };
        if self.now.0 + expected_latency >= self.useful_until(pending).0
            || pending.attempts.len() >= self.settings.max_attempts as usize
            || pending.count(Outcome::Error) >= MAX_ERRORS
            || self.now >= self.may_start_until(pending)
        {
            return Decision::Reject;
        }
        match self.class(pending).freshness {
            Freshness::Write | Freshness::Latest => self.choose_primary(id),
            _ => self.choose_replica(id),
        }
    }

    /// The time after which a response earns too little weight to be worth waiting for.
    pub(super) fn useful_until(&self, pending: &PendingRequest) -> Time {
        let class = self.class(pending);
        let deadline = pending.request.deadline;
        let objective = Time(pending.first_try_at.0 + class.latency_objective);
        if class.late_weight_share >= MIN_LATE_WEIGHT_SHARE { deadline } else { deadline.min(objective) }
    }

    /// Decides again after all attempts of a request have ended. An attempt that was never sent or whose
    /// member was not eligible consumes no retry budget.
    pub(super) fn retry(&mut self, id: RequestId, outcome: Outcome) {
        let cost = if matches!(outcome, Outcome::NotEligible | Outcome::NeverSent) { 0.0 } else { 1.0 };
        if self.retry_budget >= cost {
            self.retry_budget -= cost;
            self.dispatch(id);
        } else {
            self.reject(id);
        }
    }

    fn queue(&mut self, id: RequestId) {
        if let Some(pending) = self.requests.get_mut(&id).filter(|p| !p.queued) {
            pending.queued = true;
            self.groups.entry(pending.request.group).or_default().queued.push(id);
        }
    }

    pub(super) fn dequeue(&mut self, id: RequestId) {
        if let Some(pending) = self.requests.get_mut(&id).filter(|p| p.queued) {
            pending.queued = false;
            let group_id = pending.request.group;
            let Some(group) = self.groups.get_mut(&group_id) else { return };
            group.queued.retain(|q| *q != id);
            // A client may name any group.
            if group.members.is_empty() && group.queued.is_empty() {
                self.groups.remove(&group_id);
            }
        }
    }

    pub(super) fn on_timer(&mut self) {
        self.timer_set = false;
        // The ejections of a group with an empty queue end with the next outcome in the group.
        let waiting = self.groups.iter().filter(|(_, g)| !g.queued.is_empty()).map(|(id, _)| *id);
        for group in waiting.collect::<Vec<GroupId>>() {
            self.dispatch_queued(group);
        }
    }

    /// Decides again about all queued requests of a group.
    pub(super) fn dispatch_queued(&mut self, id: GroupId) {
        self.end_ejections(id);
        let Some(group) = self.groups.get(&id) else { return };
        // The highest weight per unit of latency goes first, then the oldest request.
        let mut ordered: Vec<_> = group.queued.iter().map(|id| (-self.queue_priority(*id), *id)).collect();
        ordered.sort_unstable();
        for (_, id) in ordered {
            self.dispatch(id);
        }
    }

    /// The weight that a response would earn, divided by the usual latency of the class.
    fn queue_priority(&self, id: RequestId) -> i64 {
        let pending = &self.requests[&id];
        let class = self.class(pending);
        let usual_latency = self.latency_ewma[pending.request.class];
        let is_late = self.now.0 + usual_latency as i64 > pending.first_try_at.0 + class.latency_objective;
        let weight_share = if is_late { class.late_weight_share } else { 1.0 };
        (class.priority_weight * weight_share * 1e9 / usual_latency.max(1.0)) as i64
    }

    /// Gives the final response to a request that is not served.
    fn reject(&mut self, id: RequestId) {
        let Some(pending) = self.requests.get(&id) else { return };
        let class = self.class(pending);
        let is_safe_to_retry = match class.idempotency {
            Idempotency::Idempotent | Idempotency::DeduplicatedEverywhere(_) => true,
            _ => pending.may_have_run_since.is_none() && pending.no_attempt_in_flight(),
        };
        let retry_after = self.settings.max_retry_after.map(|max| max.min(class.latency_objective));
        let reject = Action::Reject { request: id, retry_after };
        self.actions.push(if is_safe_to_retry { reject } else { Action::Fail { request: id } });
        self.finish(id);
    }

    /// Marks a request as finished. Nothing more is sent for it, but its state is retained until its attempts
    /// have ended.
    pub(super) fn finish(&mut self, id: RequestId) {
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.finished = true;
        }
        self.dequeue(id);
        self.remove_if_complete(id);
    }

    pub(super) fn remove_if_complete(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|p| p.finished && p.no_attempt_in_flight()) {
            self.requests.remove(&id);
        }
    }
}
