//! Records each state transition of a request: writes a log line, increments the counters by reason and
//! notifies the observer.
use super::actor::RouterActor;
use crate::attempt_id::AttemptId;
use crate::final_response::FinalResponse;
use crate::metrics::ReasonCounters;
use crate::observer::{AttemptEnd, Ending, Transition, Violation};
use crate::permit::{AttemptTimes, Denial};
use crate::protocol::BackendProtocol;
use crate::reasons::{EndReason, outcome_name};
use decision::{MemberId, Outcome, RequestId, Time};

/// Value of the log field `reason` for requests that were served.
const NO_REASON: &str = "none";

impl<R> From<&FinalResponse<R>> for Ending {
    fn from(response: &FinalResponse<R>) -> Ending {
        match response {
            FinalResponse::Served(..) => Ending::Served,
            FinalResponse::Rejected(_) | FinalResponse::PlacementDenied(_) => Ending::Rejected,
            FinalResponse::Failed(_) => Ending::Failed,
            FinalResponse::Cancelled => Ending::Cancelled,
        }
    }
}

impl<P: BackendProtocol> RouterActor<P> {
    /// Records that a request was accepted from a client connection.
    pub(super) fn record_accepted(
        &mut self,
        request: RequestId,
        connection: u64,
        class: usize,
        deadline: Time,
    ) {
        tracing::debug!(request = request.0, connection, class, deadline = deadline.0, "request accepted");
        self.observe(request, Transition::Accepted { class, deadline });
    }

    /// Records that an attempt was sent to its endpoint's backend.
    pub(super) fn record_dispatched(&mut self, attempt: AttemptId, endpoint: MemberId, deadline: Time) {
        let AttemptId { request, number } = attempt;
        tracing::debug!(
            request = request.0,
            attempt = number,
            connection = self.connection_of(request),
            endpoint = self.endpoint_name(endpoint),
            deadline = deadline.0,
            "attempt dispatched"
        );
        if number > 0 {
            self.count_retry(request);
        }
        self.observe(request, Transition::AttemptDispatched { attempt: number, deadline });
    }

    /// Counts a retry by the outcome of the last ended attempt of the request, if there is one.
    fn count_retry(&self, request: RequestId) {
        let last_outcome = self.requests.get(&request).and_then(|record| record.last_outcome);
        if let (Some(reasons), Some(outcome)) = (self.reasons(), last_outcome) {
            reasons.retried.with_label_values(&[outcome_name(outcome)]).inc();
        }
    }

    /// Records that an attempt was denied a permit.
    pub(super) fn record_denied(&self, attempt: AttemptId, denial: Denial) {
        let AttemptId { request, number } = attempt;
        tracing::debug!(
            request = request.0,
            attempt = number,
            connection = self.connection_of(request),
            reason = denial.name(),
            "attempt denied"
        );
        if let Some(reasons) = self.reasons() {
            reasons.denied.with_label_values(&[denial.name()]).inc();
        }
    }

    /// Records the end of an attempt in the log, the counters and the observer.
    pub(super) fn record_attempt_ended(
        &mut self,
        attempt: AttemptId,
        endpoint: MemberId,
        times: &AttemptTimes,
        outcome: Outcome,
    ) {
        let AttemptId { request, number } = attempt;
        tracing::debug!(
            request = request.0,
            attempt = number,
            connection = self.connection_of(request),
            endpoint = self.endpoint_name(endpoint),
            outcome = outcome_name(outcome),
            "attempt ended"
        );
        if let Some(denial) = times.denied.filter(|_| outcome == Outcome::NeverSent) {
            self.record_denied(attempt, denial);
        }
        let end = AttemptEnd {
            attempt: number,
            permitted_at: times.permitted_at.map(|at| self.clock.time_at(at)),
            sent: times.sent_at.is_some(),
            endpoint_out_of_service_since: times
                .endpoint_out_of_service_since
                .map(|at| self.clock.time_at(at)),
            outcome,
        };
        self.observe(request, Transition::AttemptEnded(end));
    }

    /// Records that a request has ended, with or without a response.
    pub(super) fn record_request_ended(
        &mut self,
        request: RequestId,
        ending: Ending,
        reason: Option<EndReason>,
    ) {
        let reason = reason.map_or(NO_REASON, EndReason::name);
        tracing::debug!(
            request = request.0,
            connection = self.connection_of(request),
            ending = ending.name(),
            reason,
            "request ended"
        );
        self.count_end(ending, reason);
        self.observe(request, Transition::Ended(ending));
    }

    /// Counts a request that was not served, by reason.
    fn count_end(&self, ending: Ending, reason: &'static str) {
        let Some(reasons) = self.reasons() else { return };
        let family = match ending {
            Ending::Served => return,
            Ending::Rejected => &reasons.rejected,
            Ending::Failed => &reasons.failed,
            Ending::Cancelled | Ending::ClientDisconnected => &reasons.dropped,
        };
        family.with_label_values(&[reason]).inc();
    }

    /// Checks for requests that are still open after their deadline.
    pub(super) fn find_forgotten_requests(&mut self) {
        let mut violations = Vec::new();
        self.observer.find_forgotten(self.clock.now(), &mut violations);
        self.report_all(&violations);
    }

    fn observe(&mut self, request: RequestId, transition: Transition) {
        let mut violations = Vec::new();
        self.observer.observe(self.clock.now(), request, transition, &mut violations);
        self.report_all(&violations);
    }

    fn report_all(&self, violations: &[Violation]) {
        violations.iter().for_each(|violation| self.report(violation));
    }

    /// Reports an invariant violation, which is a bug in the router, as an error in the log and in a counter.
    /// In debug builds, including tests, this also panics, unless the violation can be caused by a lack of
    /// CPU time alone.
    fn report(&self, violation: &Violation) {
        let Violation { invariant, request, attempt } = violation;
        let name = invariant.name();
        tracing::error!(
            invariant = name,
            request = request.0,
            attempt = attempt.map(tracing::field::display),
            connection = self.connection_of(*request),
            "invariant violated"
        );
        if let Some(reasons) = self.reasons() {
            reasons.invariant_violations.with_label_values(&[name]).inc();
        }
        let is_fault = !invariant.depends_on_scheduling();
        assert!(!(cfg!(debug_assertions) && is_fault), "invariant {name} violated by request {}", request.0);
    }

    fn reasons(&self) -> Option<&ReasonCounters> {
        self.metrics.as_ref().map(|metrics| &metrics.reasons)
    }

    fn connection_of(&self, request: RequestId) -> u64 {
        self.requests.get(&request).map_or(0, |record| record.connection)
    }

    fn endpoint_name(&self, endpoint: MemberId) -> &str {
        self.endpoints.get(&self.canonical_id(endpoint)).map_or("", |record| record.id.as_str())
    }
}
