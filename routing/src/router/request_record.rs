//! The record of each open request, and of its attempts in flight.
use super::placed_request::PlacedRequest;
use crate::final_response::FinalResponse;
use crate::metrics::Metrics;
use crate::permit::{AttemptGuard, Denial, RepeatRule, RepeatState, ResponseSlot, Verdict};
use crate::protocol::BackendProtocol;
use decision::{MemberId, MemberReport, Outcome, Time};
use std::sync::Arc;

/// An attempt in flight.
pub(super) struct InFlightAttempt {
    pub(super) number: u32,
    /// Where the decisions sent it; perhaps an alias of an endpoint.
    pub(super) member: MemberId,
    pub(super) guard: AttemptGuard,
    /// It was dispatched to its endpoint's connections; one that was not permitted ends by itself.
    pub(super) dispatched: bool,
}

pub(super) struct RequestRecord<P: BackendProtocol> {
    pub(super) payload: Arc<P::Payload>,
    pub(super) class: usize,
    /// Its client stops waiting at this time.
    pub(super) deadline: Time,
    pub(super) is_write: bool,
    /// The number of the connection that it arrived on, for the log.
    pub(super) connection: u64,
    /// Sends the one final response.
    pub(super) response: ResponseSlot<P::Response>,
    /// What its attempts may have done; a retry is permitted by this.
    pub(super) repeats: RepeatState,
    /// The number of its attempts, in flight or ended.
    pub(super) attempt_count: u32,
    pub(super) in_flight: Vec<InFlightAttempt>,
    pub(super) last_outcome: Option<Outcome>,
    /// Its route, if placement rules apply.
    pub(super) placed: Option<Box<PlacedRequest>>,
}

impl<P: BackendProtocol> RequestRecord<P> {
    pub(super) fn awaits_response(&self) -> bool {
        self.response.is_open()
    }

    /// Permits one more attempt; `Ok` holds the time after which it must not start, if there is one.
    ///
    /// # Errors
    /// Why it must not be sent.
    pub(super) fn permit_attempt(&mut self, now: Time, rule: RepeatRule) -> Verdict<Option<Time>> {
        if self.response.is_open() {
            self.repeats.permit_attempt(now, rule)
        } else {
            Err(Denial::AlreadyAnswered)
        }
    }

    /// Records that one of its attempts, whose first byte was permitted at `permitted_at` if ever, has ended.
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

    /// When it was committed, if it is a write that was. A position in the response's report is then the commit's, and
    /// is taken out of the report: it is no position of the endpoint.
    pub(super) fn commit(
        &self,
        outcome: Outcome,
        stated: Option<Time>,
        response_report: &mut MemberReport,
    ) -> Option<Time> {
        if !self.is_write || outcome != Outcome::Ok {
            return None;
        }
        let position = response_report.position.take();
        stated.or(position)
    }

    /// Sends the final response and counts the request. A request past its deadline counts as failed, whatever the
    /// response.
    ///
    /// # Errors
    /// It has its response, or is owed none any more.
    pub(super) fn respond(
        &mut self,
        response: FinalResponse<P::Response>,
        now: Time,
        metrics: Option<&Metrics>,
    ) -> Verdict {
        if !self.response.is_open() {
            return Err(Denial::AlreadyAnswered);
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
