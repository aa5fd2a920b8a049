//! The router actor's record of each open request and of its attempts in flight.
use super::placed_request::PlacedRequest;
use crate::final_response::FinalResponse;
use crate::metrics::Metrics;
use crate::permit::{AttemptGuard, Denial, RepeatRule, RepeatState, ResponseSlot, Verdict};
use crate::protocol::BackendProtocol;
use decision::{GroupId, MemberId, MemberReport, Outcome, SessionId, Time};
use std::sync::Arc;

/// An attempt that has not ended.
pub(super) struct InFlightAttempt {
    pub(super) number: u32,
    /// Member to which the decision state machine sent the attempt, which may be an alias of an endpoint.
    pub(super) member: MemberId,
    pub(super) guard: AttemptGuard,
    /// Whether the attempt was sent to its endpoint's backend. An attempt that was not permitted ends without
    /// being dispatched.
    pub(super) dispatched: bool,
}

pub(super) struct RequestRecord<P: BackendProtocol> {
    pub(super) payload: Arc<P::Payload>,
    pub(super) class: usize,
    /// Group that the client named.
    pub(super) group: GroupId,
    pub(super) session: Option<SessionId>,
    /// Time at which the client stops waiting for a response.
    pub(super) deadline: Time,
    pub(super) is_write: bool,
    /// Number of the client connection, for logging.
    pub(super) connection: u64,
    /// Slot for the final response, which is sent at most once.
    pub(super) response: ResponseSlot<P::Response>,
    /// What earlier attempts may have done, which determines whether a retry is permitted.
    pub(super) repeats: RepeatState,
    /// Number of attempts so far, including those in flight.
    pub(super) attempt_count: u32,
    pub(super) in_flight: Vec<InFlightAttempt>,
    pub(super) last_outcome: Option<Outcome>,
    /// Routing state; `None` without placement settings.
    pub(super) placed: Option<Box<PlacedRequest>>,
}

impl<P: BackendProtocol> RequestRecord<P> {
    pub(super) fn awaits_response(&self) -> bool {
        self.response.is_open()
    }

    /// Permits one more attempt. `Ok` contains the time after which the attempt must not start, if there is a
    /// limit.
    ///
    /// # Errors
    /// Returns the reason for which no attempt may be sent.
    pub(super) fn permit_attempt(&mut self, now: Time, rule: RepeatRule) -> Verdict<Option<Time>> {
        if self.response.is_open() {
            self.repeats.permit_attempt(now, rule)
        } else {
            Err(Denial::AlreadyResponded)
        }
    }

    /// Records the end of an attempt. `permitted_at` is the time at which its first byte was permitted, if it
    /// was.
    pub(super) fn attempt_ended(
        &mut self,
        attempt: &InFlightAttempt,
        permitted_at: Option<Time>,
        outcome: Outcome,
    ) {
        self.last_outcome = Some(outcome);
        if let Some(placed) = &mut self.placed {
            placed.attempt_ended(outcome);
        }
        if attempt.dispatched {
            self.repeats.attempt_ended(permitted_at, outcome);
        }
    }

    /// Returns the commit time of a served write. For a write, a position in the response's report is the
    /// position of the commit and not of the endpoint, so it is removed from the report.
    pub(super) fn commit(
        &self,
        outcome: Outcome,
        reported: Option<Time>,
        response_report: &mut MemberReport,
    ) -> Option<Time> {
        if !self.is_write || outcome != Outcome::Ok {
            return None;
        }
        let position = response_report.position.take();
        reported.or(position)
    }

    /// Sends the final response and counts the request. After the deadline a request counts as failed,
    /// regardless of the response.
    ///
    /// # Errors
    /// Returns an error if the request already has a response or no longer needs one.
    pub(super) fn respond(
        &mut self,
        response: FinalResponse<P::Response>,
        now: Time,
        metrics: Option<&Metrics>,
    ) -> Verdict {
        if !self.response.is_open() {
            return Err(Denial::AlreadyResponded);
        }
        if let Some(metrics) = metrics {
            self.count(&response, now, metrics);
        }
        self.response.send(response)
    }

    fn count(&self, response: &FinalResponse<P::Response>, now: Time, metrics: &Metrics) {
        let Some(class) = metrics.classes.get(self.class) else { return };
        metrics.requests_in_progress.dec();
        match response {
            _ if now >= self.deadline => class.failed.inc(),
            FinalResponse::Served(..) => class.served.inc(),
            FinalResponse::Rejected(_) | FinalResponse::PlacementDenied(_) => class.rejected.inc(),
            FinalResponse::Failed(_) | FinalResponse::Cancelled => class.failed.inc(),
        }
    }
}
