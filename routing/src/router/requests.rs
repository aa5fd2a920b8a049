//! Requests from their arrival to their final response.
use super::actor::RouterActor;
use super::request_record::RequestRecord;
use crate::protocol::BackendProtocol;
use crate::request::{ClientRequest, FinalResponse};
use crossbeam_channel::Sender;
use decision::{Event, Request, RequestId};
use std::sync::Arc;
use std::time::Duration;

impl<P: BackendProtocol> RouterActor<P> {
    /// Records a request and has the decisions decide on it, unless its tenant's data may be nowhere that it could go to, or
    /// its group is unavailable as a whole.
    pub(super) fn request_arrived(&mut self, id: RequestId, arrived: ClientRequest<P>) {
        let ClientRequest {
            class,
            tenant,
            session,
            group,
            deadline,
            session_commit,
            payload,
            response_sender,
        } = arrived;
        // The decisions do not tell tenants apart; placement does, by name.
        let mut request = Request { id, class, tenant: 0, session, group, deadline, session_commit };
        let placed = self.place(tenant, &request);
        let mut record = self.new_record(&request, payload, response_sender);
        if let Some(metrics) = &self.metrics {
            metrics.requests_in_progress.inc();
        }
        match placed {
            Ok(placed) => record.placed = placed,
            Err(refusal) => {
                let response = FinalResponse::PlacementDenied(refusal);
                return record.respond(response, self.clock.now(), self.metrics.as_deref());
            }
        }
        if let Some(placed) = &record.placed {
            request.group = placed.routed_to();
        }
        self.requests.insert(id, record);
        // By the group that the client named, whatever subset of it the request is routed to.
        if self.unavailable_groups.contains(&group) {
            let retry_after = self.classes.get(class).and_then(|rules| rules.retry_after);
            return self.reject(id, retry_after);
        }
        self.decide(Event::RequestArrived(request));
    }

    fn new_record(
        &self,
        request: &Request,
        payload: P::Payload,
        response_sender: Sender<FinalResponse<P::Response>>,
    ) -> RequestRecord<P> {
        RequestRecord {
            payload: Arc::new(payload),
            class: request.class,
            deadline: request.deadline,
            is_write: self.classes.get(request.class).is_none_or(|rules| rules.is_write),
            response_sender: Some(response_sender),
            attempt_count: 0,
            in_flight: Vec::new(),
            last_outcome: None,
            placed: None,
        }
    }

    /// The client has gone: the request is owed no response, and counts as neither served nor failed.
    pub(super) fn client_disconnected(&mut self, id: RequestId) {
        let Some(record) = self.requests.get_mut(&id) else { return };
        if record.response_sender.take().is_none() {
            return;
        }
        if let Some(metrics) = &self.metrics {
            metrics.requests_in_progress.dec();
        }
        self.close(id);
    }

    /// The client asked to cancel the request: it gets that as its final response, unless it has one.
    pub(super) fn request_cancelled(&mut self, id: RequestId) {
        let now = self.clock.now();
        let Some(record) = self.requests.get_mut(&id).filter(|r| r.awaits_response()) else { return };
        record.respond(FinalResponse::Cancelled, now, self.metrics.as_deref());
        self.close(id);
    }

    /// Nobody waits for a request any more: no further attempt is sent for it, nor one that still waits for a
    /// connection.
    fn close(&mut self, id: RequestId) {
        self.cancel_unstarted_attempts(id);
        self.decide(Event::ClientDisconnected { request: id });
        self.remove_if_finished(id);
    }

    /// The final response that the request was not served and may be retried, after this time if there is one.
    pub(super) fn reject(&mut self, id: RequestId, retry_after: Option<Duration>) {
        self.respond(id, FinalResponse::Rejected(retry_after));
    }

    /// The final response that the request may have run, with the outcome of its last attempt.
    pub(super) fn fail(&mut self, id: RequestId) {
        let last_outcome = self.requests.get(&id).and_then(|record| record.last_outcome);
        self.respond(id, FinalResponse::Failed(last_outcome));
    }

    /// Gives a request its final response, unless it has one.
    pub(super) fn respond(&mut self, id: RequestId, response: FinalResponse<P::Response>) {
        let now = self.clock.now();
        if let Some(record) = self.requests.get_mut(&id) {
            record.respond(response, now, self.metrics.as_deref());
            self.remove_if_finished(id);
        }
    }

    /// Forgets a request that has its final response and no attempt in flight.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        let finished = |record: &RequestRecord<P>| !record.awaits_response() && record.in_flight.is_empty();
        if self.requests.get(&id).is_some_and(finished) {
            self.requests.remove(&id);
        }
    }
}
