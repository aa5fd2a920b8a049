//! Request admission: the arrival, the decision to forward, queue or reject, the queue, and the final answer.
use super::{Action, Freshness, GroupId, Idempotency, MemberId, Micros, Outcome, PendingRequest, Request};
use super::{RequestId, Router, SessionCommitSource, Time};

/// Errors, at different members if there are, after which a request counts as bad itself: no more retries.
const MAX_ERRORS: usize = 2;
/// Late responses are waited for in classes whose `late_weight_share` is at least this.
const MIN_LATE_WEIGHT_SHARE: f64 = 0.4;
/// Retries that each accepted request earns; a retry storm can't exceed this share of traffic.
const RETRY_BUDGET_RATIO: f64 = 0.2;
/// Retries that may be saved up for a time with more failures.
pub(super) const MAX_RETRY_BUDGET: f64 = 20.0;
/// Different timeouts, as shares of the deadline, that are counted to tell first tries from later ones.
const MAX_TIMEOUT_RATIOS: usize = 16;
/// Their counts are halved at this many of one kind, so that clients may change in the long run.
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
            let own = request.session.and_then(|s| self.session_commits.get(&(request.group, s)).copied());
            request.session_commit = own.max(self.minimum_position);
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

    /// How long ago the client first asked. First tries bring one and the same share of the deadline of their
    /// class, the commonest; another is a later try: its client has waited what is missing to the deadline.
    fn time_since_first_try(&mut self, class: usize, timeout: Micros) -> Micros {
        let deadline = self.settings.classes[class].deadline.max(1);
        let ratio = timeout as f64 / deadline as f64;
        let near = 3.0 * self.settings.min_event_interval as f64 / deadline as f64;
        let ratios = &mut self.timeout_ratios;
        let at = ratios.iter().position(|r| (r.0 - ratio).abs() <= near).unwrap_or_else(|| {
            if ratios.len() == MAX_TIMEOUT_RATIOS {
                ratios.sort_unstable_by_key(|r| u32::MAX - r.1);
                ratios.pop();
            }
            ratios.push((ratio, 0));
            ratios.len() - 1
        });
        ratios[at].1 += 1;
        let too_many = ratios.iter().any(|r| r.1 > MAX_TIMEOUT_COUNT);
        ratios.iter_mut().filter(|_| too_many).for_each(|r| r.1 /= 2);
        let commonest = ratios.iter().all(|r| r.1 <= ratios[at].1);
        if commonest { 0 } else { (deadline - timeout).max(0) }
    }

    /// Forwards a request, queues it, or rejects it.
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

    /// After this a response earns too little to be waited for.
    pub(super) fn useful_until(&self, pending: &PendingRequest) -> Time {
        let class = self.class(pending);
        let deadline = pending.request.deadline;
        let in_time = Time(pending.first_try_at.0 + class.latency_objective);
        if class.late_weight_share >= MIN_LATE_WEIGHT_SHARE { deadline } else { deadline.min(in_time) }
    }

    /// Decides again once all attempts have ended. What was never sent or found nobody fit costs no retry.
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

    pub(super) fn unqueue(&mut self, id: RequestId) {
        if let Some(pending) = self.requests.get_mut(&id).filter(|p| p.queued) {
            pending.queued = false;
            self.groups.entry(pending.request.group).or_default().queued.retain(|q| *q != id);
        }
    }

    pub(super) fn on_timer(&mut self) {
        self.timer_set = false;
        // Ejections of a group that nothing waits for end with its next outcome.
        let waiting = self.groups.iter().filter(|(_, g)| !g.queued.is_empty()).map(|(id, _)| *id);
        for group in waiting.collect::<Vec<GroupId>>() {
            self.dispatch_queued(group);
        }
    }

    /// Looks again at what is queued for a group.
    pub(super) fn dispatch_queued(&mut self, id: GroupId) {
        self.end_ejections(id);
        let Some(group) = self.groups.get(&id) else { return };
        // What earns most for its work goes first, the oldest among equals.
        let mut ranked: Vec<_> = group.queued.iter().map(|id| (-self.queue_priority(*id), *id)).collect();
        ranked.sort_unstable();
        for (_, id) in ranked {
            self.dispatch(id);
        }
    }

    /// Weight that a response would earn, per time of work: the usual latency of its class.
    fn queue_priority(&self, id: RequestId) -> i64 {
        let pending = &self.requests[&id];
        let class = self.class(pending);
        let usual_latency = self.latency_ewma[pending.request.class];
        let is_late = self.now.0 + usual_latency as i64 > pending.first_try_at.0 + class.latency_objective;
        let share = if is_late { class.late_weight_share } else { 1.0 };
        (class.priority_weight * share * 1e9 / usual_latency.max(1.0)) as i64
    }

    /// The final answer of a request that is not served, given at once.
    fn reject(&mut self, id: RequestId) {
        let Some(pending) = self.requests.get(&id) else { return };
        let class = self.class(pending);
        let harmless = match class.idempotency {
            Idempotency::Idempotent | Idempotency::DeduplicatedEverywhere(_) => true,
            _ => pending.may_have_run_since.is_none() && pending.no_attempt_in_flight(),
        };
        let retry_after = self.settings.max_retry_after.map(|max| max.min(class.latency_objective));
        let reject = Action::Reject { request: id, retry_after };
        self.actions.push(if harmless { reject } else { Action::Fail { request: id } });
        self.finish(id);
    }

    /// Nothing more is sent for this request; it stays known until its attempts have ended.
    pub(super) fn finish(&mut self, id: RequestId) {
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.finished = true;
        }
        self.unqueue(id);
        self.drop_if_done(id);
    }

    pub(super) fn drop_if_done(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|p| p.finished && p.no_attempt_in_flight()) {
            self.requests.remove(&id);
        }
    }
}
