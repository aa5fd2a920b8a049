//! Handling of requests, from their submission to their final response.
use super::actor::RouterActor;
use super::request_record::RequestRecord;
use crate::final_response::FinalResponse;
use crate::observer::Ending;
use crate::permit::{Denial, RepeatState, ResponseSlot};
use crate::protocol::BackendProtocol;
use crate::reasons::EndReason;
use crate::request::ClientRequest;
use crossbeam_channel::Sender;
use decision::{Event, Request, RequestId};
use std::sync::Arc;
use std::time::Duration;

impl<P: BackendProtocol> RouterActor<P> {
    /// Records a request and passes it to the decision state machine. A request is rejected immediately if
    /// placement denies it or if its group is unavailable.
    pub(super) fn request_arrived(&mut self, id: RequestId, arrived: ClientRequest<P>) {
        let ClientRequest {
            connection,
            class,
            tenant,
            session,
            group,
            deadline,
            session_commit,
            may_run_partially,
            payload,
            response_sender,
        } = arrived;
        let deadline = match &self.shutdown {
            Some(shutdown) => shutdown.limit(self.clock.now(), deadline),
            None => deadline,
        };
        // The tenant is not passed to the decision state machine. Placement identifies tenants by name.
        let mut request =
            Request { id, class, tenant: 0, session, group, deadline, session_commit, may_run_partially };
        let placed = self.apply_placement_rules(tenant, &request);
        let mut record = self.new_record(&request, connection, payload, response_sender);
        if let Some(metrics) = &self.metrics {
            metrics.requests_in_progress.inc();
        }
        let mut placement_error = None;
        match placed {
            Ok(placed) => record.placed = placed,
            Err(error) => placement_error = Some(error),
        }
        if let Some(placed) = &record.placed {
            request.group = placed.routed_to();
        }
        self.requests.insert(id, record);
        self.record_accepted(id, connection, class, deadline);
        if let Some(error) = placement_error {
            return self.respond(id, FinalResponse::PlacementDenied(error), EndReason::PlacementDenied);
        }
        // The group named by the client is checked, regardless of the subset that the request is routed to.
        if self.unavailable_groups.contains(&group) {
            let retry_after = self.classes.get(class).and_then(|rules| rules.retry_after);
            return self.respond(id, FinalResponse::Rejected(retry_after), EndReason::GroupUnavailable);
        }
        self.receive_commits(class);
        self.handle_decision_event(Event::RequestArrived(request));
    }

    fn new_record(
        &self,
        request: &Request,
        connection: u64,
        payload: P::Payload,
        response_sender: Sender<FinalResponse<P::Response>>,
    ) -> RequestRecord<P> {
        RequestRecord {
            payload: Arc::new(payload),
            class: request.class,
            group: request.group,
            session: request.session,
            deadline: request.deadline,
            is_write: self.classes.get(request.class).is_none_or(|rules| rules.is_write),
            connection,
            response: ResponseSlot::new(response_sender),
            repeats: RepeatState::default(),
            attempt_count: 0,
            in_flight: Vec::new(),
            last_outcome: None,
            placed: None,
        }
    }

    /// Handles the disconnect of a request's client. The request gets no response and is counted neither as
    /// served nor as failed.
    pub(super) fn client_disconnected(&mut self, id: RequestId) {
        let Some(record) = self.requests.get_mut(&id) else { return };
        if record.response.close(Denial::ClientDisconnected).is_err() {
            return;
        }
        if let Some(metrics) = &self.metrics {
            metrics.requests_in_progress.dec();
        }
        self.record_request_ended(id, Ending::ClientDisconnected, Some(EndReason::ClientDisconnected));
        self.close(id, Denial::ClientDisconnected);
    }

    /// Handles the cancellation of a request by its client. The final response is
    /// [`FinalResponse::Cancelled`], unless a final response was already sent.
    pub(super) fn request_cancelled(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(RequestRecord::awaits_response) {
            self.send_response(id, FinalResponse::Cancelled, EndReason::ClientCancelled);
            self.close(id, Denial::ClientCancelled);
        }
    }

    /// Stops all work on a request whose client no longer waits. No further attempt is sent, including
    /// attempts that are still waiting for a connection.
    fn close(&mut self, id: RequestId, reason: Denial) {
        self.cancel_unstarted_attempts(id, reason);
        self.handle_decision_event(Event::ClientDisconnected { request: id });
        self.remove_if_finished(id);
    }

    /// Rejects a request. The client may safely retry it, after `retry_after` if that is given.
    pub(super) fn reject(&mut self, id: RequestId, retry_after: Option<Duration>) {
        let reason = self.end_reason(id);
        self.respond(id, FinalResponse::Rejected(retry_after), reason);
    }

    /// Fails a request that may have run, with the outcome of its last attempt.
    pub(super) fn fail(&mut self, id: RequestId) {
        let last_outcome = self.requests.get(&id).and_then(|record| record.last_outcome);
        let reason = self.end_reason(id);
        self.respond(id, FinalResponse::Failed(last_outcome), reason);
    }

    /// Returns the reason for ending a request that was not served.
    pub(super) fn end_reason(&self, id: RequestId) -> EndReason {
        let last_outcome = self.requests.get(&id).and_then(|record| record.last_outcome);
        last_outcome.map_or(EndReason::NotForwarded, EndReason::AttemptOutcome)
    }

    /// Sends the final response of a request unless it already has one, and removes the request if it is
    /// finished.
    pub(super) fn respond(&mut self, id: RequestId, response: FinalResponse<P::Response>, reason: EndReason) {
        self.send_response(id, response, reason);
        self.remove_if_finished(id);
    }

    /// Sends the final response of a request unless it already has one. The request is not removed.
    pub(super) fn send_response(
        &mut self,
        id: RequestId,
        response: FinalResponse<P::Response>,
        reason: EndReason,
    ) {
        let now = self.clock.now();
        let ending = Ending::from(&response);
        let Some(record) = self.requests.get_mut(&id) else { return };
        if record.respond(response, now, self.metrics.as_deref()).is_ok() {
            let reason = (ending != Ending::Served).then_some(reason);
            self.record_request_ended(id, ending, reason);
        }
    }

    /// Removes a request that has a final response and no attempts in flight.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        let finished = |record: &RequestRecord<P>| !record.awaits_response() && record.in_flight.is_empty();
        if self.requests.get(&id).is_some_and(finished) {
            self.requests.remove(&id);
        }
    }
}
