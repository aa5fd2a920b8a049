//! Each transition of a request: one line of the log, the counters by reason, and the observer's check.
use super::actor::RouterActor;
use crate::metrics::ReasonCounters;
use crate::observer::{Ending, Transition, Violation};
use crate::permit::{AttemptTimes, Denial};
use crate::protocol::BackendProtocol;
use crate::reasons::{EndReason, outcome_name};
use crate::request::{AttemptId, FinalResponse};
use decision::{MemberId, Outcome, RequestId, Time};

/// How a final response is told to the observer, and its name in the log.
pub(super) fn ending<R>(response: &FinalResponse<R>) -> (Ending, &'static str) {
    match response {
        FinalResponse::Served(..) => (Ending::Served, "served"),
        FinalResponse::Rejected(_) => (Ending::Rejected, "rejected"),
        FinalResponse::PlacementDenied(_) => (Ending::Rejected, "rejected"),
        FinalResponse::Failed(_) => (Ending::Failed, "failed"),
        FinalResponse::Cancelled => (Ending::Cancelled, "cancelled"),
    }
}

impl<P: BackendProtocol> RouterActor<P> {
    fn reasons(&self) -> Option<&ReasonCounters> {
        self.metrics.as_ref().map(|metrics| &metrics.reasons)
    }

    /// A request was taken from a connection.
    pub(super) fn note_taken(&mut self, request: RequestId, connection: u64, class: usize, deadline: Time) {
        tracing::debug!(request = request.0, connection, class, deadline = deadline.0, "request taken");
        self.observe(request, Transition::Taken { class, deadline });
    }

    /// An attempt was handed to its endpoint's connections.
    pub(super) fn note_handed(&mut self, attempt: AttemptId, endpoint: MemberId, until: Time) {
        let AttemptId { request, number } = attempt;
        let (connection, name) = (self.connection_of(request), self.endpoint_name(endpoint));
        tracing::debug!(
            request = request.0,
            attempt = number,
            connection,
            endpoint = name,
            until = until.0,
            "attempt handed over"
        );
        let before = self.requests.get(&request).and_then(|record| record.last_outcome);
        if let (Some(reasons), Some(outcome)) = (self.reasons(), before.filter(|_| number > 0)) {
            reasons.retried.with_label_values(&[outcome_name(outcome)]).inc();
        }
        self.observe(request, Transition::Handed { attempt: number, until });
    }

    /// An attempt was not permitted.
    pub(super) fn note_denied(&self, attempt: AttemptId, denial: Denial) {
        let AttemptId { request, number } = attempt;
        let connection = self.connection_of(request);
        tracing::debug!(
            request = request.0,
            attempt = number,
            connection,
            reason = denial.name(),
            "attempt denied"
        );
        if let Some(reasons) = self.reasons() {
            reasons.denied.with_label_values(&[denial.name()]).inc();
        }
    }

    /// An attempt has ended.
    pub(super) fn note_attempt_ended(
        &mut self,
        attempt: AttemptId,
        endpoint: MemberId,
        times: &AttemptTimes,
        outcome: Outcome,
    ) {
        let AttemptId { request, number } = attempt;
        let (connection, name) = (self.connection_of(request), self.endpoint_name(endpoint));
        tracing::debug!(
            request = request.0,
            attempt = number,
            connection,
            endpoint = name,
            outcome = outcome_name(outcome),
            "attempt ended"
        );
        if let Some(denial) = times.denied.filter(|_| outcome == Outcome::NeverSent) {
            self.note_denied(attempt, denial);
        }
        let ended = Transition::AttemptEnded {
            attempt: number,
            permitted_at: times.permitted_at.map(|at| self.clock.time_at(at)),
            sent: times.sent_at.is_some(),
            endpoint_left_at: times.endpoint_left_at.map(|at| self.clock.time_at(at)),
            outcome,
        };
        self.observe(request, ended);
    }

    /// A request has its final response, or is owed none any more.
    pub(super) fn note_ended(
        &mut self,
        request: RequestId,
        ending: Ending,
        name: &'static str,
        reason: Option<EndReason>,
    ) {
        let connection = self.connection_of(request);
        let reason_name = reason.map_or("none", EndReason::name);
        tracing::debug!(
            request = request.0,
            connection,
            ending = name,
            reason = reason_name,
            "request ended"
        );
        if let Some(reasons) = self.reasons() {
            let family = match ending {
                Ending::Served => None,
                Ending::Rejected => Some(&reasons.rejected),
                Ending::Failed => Some(&reasons.failed),
                Ending::Cancelled | Ending::ClientLeft => Some(&reasons.dropped),
            };
            family.into_iter().for_each(|family| family.with_label_values(&[reason_name]).inc());
        }
        self.observe(request, Transition::Ended(ending));
    }

    /// Looks for requests that nobody has ended.
    pub(super) fn look_for_forgotten(&mut self) {
        let mut violations = Vec::new();
        self.observer.look_for_forgotten(self.clock.now(), &mut violations);
        self.report(&violations);
    }

    fn observe(&mut self, request: RequestId, transition: Transition) {
        let mut violations = Vec::new();
        self.observer.observe(self.clock.now(), request, transition, &mut violations);
        if !violations.is_empty() {
            self.report(&violations);
        }
    }

    /// A violation is a fault of this program: an error line and a counter; in debug builds, which tests are, a panic,
    /// unless a process that merely got no processor time violates it too.
    fn report(&self, violations: &[Violation]) {
        for Violation { invariant, request, attempt } in violations {
            let connection = self.connection_of(*request);
            let name = invariant.name();
            tracing::error!(
                invariant = name,
                request = request.0,
                attempt = attempt.map(tracing::field::display),
                connection,
                "invariant violated"
            );
            if let Some(reasons) = self.reasons() {
                reasons.invariant_violations.with_label_values(&[name]).inc();
            }
            let is_fault = !invariant.depends_on_scheduling();
            assert!(
                !(cfg!(debug_assertions) && is_fault),
                "invariant {name} violated by request {}",
                request.0
            );
        }
    }

    fn connection_of(&self, request: RequestId) -> u64 {
        self.requests.get(&request).map_or(0, |record| record.connection)
    }

    fn endpoint_name(&self, endpoint: MemberId) -> &str {
        self.endpoints.get(&self.own_id(endpoint)).map_or("", |record| record.id.as_str())
    }
}
