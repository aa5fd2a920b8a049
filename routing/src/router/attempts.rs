//! Handling of attempts, from their start to their end.
use super::actor::{RouterActor, Timer};
use super::endpoint_record::BackendRef;
use super::request_record::InFlightAttempt;
use crate::attempt_id::AttemptId;
use crate::backends;
use crate::final_response::FinalResponse;
use crate::messages::{BackendCommand, BackendId, RouterMessage};
use crate::permit::{AttemptGuard, AttemptTimes, Denial, RepeatRule, Verdict};
use crate::placement_subsets::ReportSource;
use crate::protocol::{BackendProtocol, ExchangeResult};
use crate::reasons::EndReason;
use decision::{Event, MemberId, Outcome, RequestId, Time};
use std::cmp::Reverse;
use std::sync::Arc;

/// An attempt that is recorded as in flight but not yet dispatched.
struct NewAttempt<P: BackendProtocol> {
    id: AttemptId,
    /// Member chosen by the decision state machine.
    member: MemberId,
    /// Canonical member ID of the member's endpoint.
    endpoint: MemberId,
    payload: Arc<P::Payload>,
    guard: AttemptGuard,
    verdict: Verdict,
}

impl<P: BackendProtocol> RouterActor<P> {
    /// Sends an attempt, which may start no later than `latest_start` and times out at `deadline`.
    pub(super) fn send_attempt(
        &mut self,
        request: RequestId,
        member: MemberId,
        deadline: Time,
        latest_start: Time,
    ) {
        let Some(new) = self.new_attempt(request, member, latest_start) else { return };
        match new.verdict {
            Ok(()) => self.dispatch_attempt(new, deadline),
            Err(denial) => {
                new.guard.cancel_if_unstarted(denial);
                self.record_denied(new.id, denial);
                self.end_attempt_later(new.id, member, Outcome::NeverSent);
            }
        }
    }

    /// Creates the next attempt of a known request, requests its permit and records it as in flight.
    fn new_attempt(
        &mut self,
        request: RequestId,
        member: MemberId,
        latest_start: Time,
    ) -> Option<NewAttempt<P>> {
        let endpoint = self.canonical_id(member);
        let now = self.clock.now();
        let state = self.endpoints.get(&endpoint).map(|e| e.state.clone()).unwrap_or_default();
        let record = self.requests.get_mut(&request)?;
        let id = AttemptId { request, number: record.attempt_count };
        record.attempt_count += 1;
        let rule = self.classes.get(record.class).map_or(RepeatRule::STRICTEST, |class| class.repeat);
        let verdict = record.permit_attempt(now, rule);
        let repeat_until = verdict.ok().flatten();
        let latest_start = repeat_until.map_or(latest_start, |until| until.min(latest_start));
        let class_metrics = self.metrics.as_ref().and_then(|metrics| metrics.classes.get(record.class));
        let sent_counter = class_metrics.map(|class| class.attempts_sent.clone());
        let latest_start = self.clock.instant_at(latest_start);
        let guard = AttemptGuard::for_attempt(state, latest_start, sent_counter).identified(id);
        record.in_flight.push(InFlightAttempt {
            number: id.number,
            member,
            guard: guard.clone(),
            dispatched: verdict.is_ok(),
        });
        let payload = record.payload.clone();
        Some(NewAttempt { id, member, endpoint, payload, guard, verdict: verdict.map(drop) })
    }

    /// Sends a permitted attempt to its endpoint's backend.
    fn dispatch_attempt(&mut self, new: NewAttempt<P>, deadline: Time) {
        let NewAttempt { id, member, endpoint, payload, guard, .. } = new;
        self.record_dispatched(id, member, deadline);
        let deadline_instant = self.clock.instant_at(deadline);
        let command = BackendCommand::Attempt { attempt: id, payload, deadline: deadline_instant, guard };
        if self.send_to_backend(endpoint, command) {
            self.timers.push(Reverse((deadline, Timer::AttemptTimeout(id))));
        } else {
            self.end_attempt_later(id, member, Outcome::NeverSent);
        }
    }

    /// Sends a command to an endpoint's backend and creates the backend if it does not exist. Returns `false`
    /// if the command could not be sent.
    pub(super) fn send_to_backend(&mut self, endpoint: MemberId, command: BackendCommand<P>) -> bool {
        let Some(record) = self.endpoints.get(&endpoint) else { return false };
        if record.backend.is_none() && !self.create_backend(endpoint) {
            return false;
        }
        self.endpoints.get(&endpoint).is_some_and(|record| record.send(command))
    }

    /// Creates an endpoint's backend. Returns `false` if it cannot be created now.
    fn create_backend(&mut self, endpoint: MemberId) -> bool {
        self.start_backends_actor();
        let Some(sender) = self.backends.clone() else { return false };
        let Some(record) = self.endpoints.get_mut(&endpoint) else { return false };
        self.last_backend_id += 1;
        record.backend = Some(BackendRef { id: BackendId(self.last_backend_id), sender });
        let (addr, state) = (record.addr, record.state.clone());
        let created = record.send(BackendCommand::Create { member: endpoint, addr, state });
        if !created {
            record.backend = None;
        }
        created
    }

    fn start_backends_actor(&mut self) {
        if self.backends.is_some() {
            return;
        }
        match backends::start(self.resources.clone()) {
            Ok(sender) => self.backends = Some(sender),
            Err(error) => {
                tracing::error!(%error, "backends thread not started, nothing sent until a retry succeeds");
            }
        }
    }

    /// Cancels an attempt in flight and shuts down its connection. Returns the member and the outcome of the
    /// attempt.
    pub(super) fn cancel_attempt(
        &self,
        attempt: AttemptId,
        reason: Denial,
        sent_outcome: Outcome,
    ) -> Option<(MemberId, Outcome)> {
        let record = self.requests.get(&attempt.request)?;
        let in_flight = record.in_flight.iter().find(|a| a.number == attempt.number)?;
        let may_have_been_sent = in_flight.guard.cancel(reason);
        let outcome =
            if may_have_been_sent { sent_outcome } else { self.unsent_outcome(&in_flight.guard.times()) };
        Some((in_flight.member, outcome))
    }

    /// Returns the outcome of an attempt that was cancelled before its first byte was written. If connecting
    /// had already taken half of the connect timeout or longer, this counts as a connect failure of the
    /// endpoint.
    fn unsent_outcome(&self, times: &AttemptTimes) -> Outcome {
        let connect_timeout = self.resources.limits.backend_connect_timeout;
        let is_overdue = times.connecting_since.is_some_and(|since| 2 * since.elapsed() >= connect_timeout);
        if is_overdue { Outcome::ConnectFailed } else { Outcome::NeverSent }
    }

    /// Prevents those attempts of a request that have not started from starting.
    pub(super) fn cancel_unstarted_attempts(&self, id: RequestId, reason: Denial) {
        if let Some(record) = self.requests.get(&id) {
            record.in_flight.iter().for_each(|attempt| attempt.guard.cancel_if_unstarted(reason));
        }
    }

    /// Ends an attempt without a response, after the current message is handled.
    pub(super) fn end_attempt_later(&mut self, attempt: AttemptId, member: MemberId, outcome: Outcome) {
        let result = ExchangeResult::from_outcome(outcome);
        self.defer(RouterMessage::AttemptEnded { attempt, member, result });
    }

    /// Handles the end of an attempt. An attempt that has already timed out is no longer in flight and is
    /// ignored.
    pub(super) fn attempt_ended(
        &mut self,
        attempt: AttemptId,
        endpoint: MemberId,
        result: ExchangeResult<P::Response>,
    ) {
        let ExchangeResult { outcome, response, mut response_report, commit, load_report, .. } = result;
        let AttemptId { request, number } = attempt;
        self.record_responded(endpoint, outcome);
        let Some(in_flight) = self.remove_in_flight(attempt) else { return };
        // Member ID to which the decision state machine sent the attempt, which may be an alias.
        let member = in_flight.member;
        let times = in_flight.guard.times();
        if !matches!(outcome, Outcome::Ok | Outcome::Cancelled | Outcome::NeverSent) {
            self.probe_spacing.attempt_failed(self.canonical_id(member));
        }
        let Some(record) = self.requests.get_mut(&request) else { return };
        let permitted_at = times.permitted_at.map(|at| self.clock.time_at(at));
        record.attempt_ended(&in_flight, permitted_at, outcome);
        let commit = record.commit(outcome, commit, &mut response_report);
        self.record_attempt_ended(attempt, member, &times, outcome);
        if let Some(response) = response {
            if let Some(commit) = commit {
                self.publish_commit(request, commit);
            }
            let response = FinalResponse::Served(response, commit);
            self.send_response(request, response, EndReason::AttemptOutcome(outcome));
        }
        let request_ended = self.requests.get(&request).is_none_or(|record| !record.awaits_response());
        if self.subsets.is_some() {
            self.record_placement_outcome(member, outcome, &response_report, ReportSource::Response);
        }
        self.handle_decision_event(Event::AttemptEnded {
            request,
            attempt: number,
            member,
            outcome,
            request_ended,
            response_report,
            commit,
            load_report,
        });
        self.reroute_after_attempt(request);
        self.remove_if_finished(request);
    }

    fn remove_in_flight(&mut self, attempt: AttemptId) -> Option<InFlightAttempt> {
        let record = self.requests.get_mut(&attempt.request)?;
        let index = record.in_flight.iter().position(|a| a.number == attempt.number)?;
        Some(record.in_flight.swap_remove(index))
    }
}
