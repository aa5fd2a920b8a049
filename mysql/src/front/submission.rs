//! Submits a request to the routing core and waits for its final response.
use super::shared::Front;
use crate::errors::{self, CommandError};
use crate::request::{AccountedRequest, Request, Response};
use crate::requirements::Requirements;
use client_listener::Connection;
use crossbeam_channel::bounded;
use routing::{ClientRequest, FinalResponse, GroupId, Time};
use sessions::SessionKey;
use sessions::node::{CommitOutcome, SessionRef};
use std::sync::Arc;

/// Submits the requests of one connection on behalf of its user.
pub(super) struct Submitter<'a> {
    pub(super) front: &'a Front,
    pub(super) connection: &'a Connection,
    pub(super) user: &'a str,
}

impl Submitter<'_> {
    /// Submits a request and waits for its final response. `class` differs from the class of the statement if
    /// the request only prepares it.
    pub(super) fn submit(
        &self,
        requirements: &Requirements,
        class: usize,
        request: AccountedRequest,
    ) -> Result<Response, CommandError> {
        let now = self.front.router.clock.now();
        let settings = self.front.settings();
        let sessions = &self.front.sessions;
        let group = GroupId(requirements.group);
        let session = self.session(requirements, group);
        let session_commit = if settings.class_uses_session[class] {
            sessions.required_position(session).map_err(rejection_error)?
        } else {
            sessions.check_serving(session).map_err(rejection_error)?;
            None
        };
        let tenant = self.tenant(requirements, class == settings.prepare_class)?;
        let deadline = self.deadline(now, requirements.wait_ms);
        let (sender, receiver) = bounded(1);
        let client_request = ClientRequest {
            connection: self.connection.id,
            class,
            tenant,
            session: None,
            group,
            deadline,
            session_commit,
            // Preparing a statement does not run it.
            may_run_partially: requirements.may_run_partially
                && !matches!(request.request, Request::Prepare(_)),
            payload: request,
            response_sender: sender,
        };
        // If the client has disconnected in the meantime, the response is discarded.
        let id = self.connection.submit(|| self.front.router.submit(client_request));
        let response = receiver.recv().unwrap_or(FinalResponse::Failed(None));
        if let Some(id) = id {
            self.connection.in_flight_requests.finish(id);
        }
        // The client receives the response to a write only after all later reads in its session are
        // guaranteed to see the write.
        if let FinalResponse::Served(_, Some(commit)) = &response
            && !settings.class_is_read[class]
            && sessions.record_commit(session, *commit, deadline) == CommitOutcome::Uncertain
        {
            let text = "it has run, but its session can't rely on it";
            return Err(CommandError::new(errors::TIMED_OUT, text));
        }
        let encoded = errors::encode_final_response(response);
        Ok(encoded.map_or_else(|served| served, |error| Response { payloads: vec![error], memory: None }))
    }

    /// A connection without a named session is a session of its own, in which it reads its own writes.
    fn session(&self, requirements: &Requirements, group: GroupId) -> SessionRef {
        match &requirements.session {
            Some(name) => SessionRef::Named(SessionKey::named(group, name)),
            None => SessionRef::Connection(SessionKey::connection(group, self.connection.id)),
        }
    }

    /// Returns the tenant of the request after the fleet has admitted the request.
    fn tenant(
        &self,
        requirements: &Requirements,
        is_prepare: bool,
    ) -> Result<Option<Arc<str>>, CommandError> {
        let Some(fleet) = &self.front.fleet else { return Ok(None) };
        let name = requirements.tenant.as_deref();
        // Preparing a statement does not run it, so it does not consume the tenant's quota. The placement
        // rules still apply.
        let tenant =
            if is_prepare { fleet.resolve_tenant(self.user, name) } else { fleet.admit(self.user, name) };
        tenant.map_err(rejection_error)
    }

    fn deadline(&self, now: Time, wait_ms: u64) -> Time {
        let deadline = Time(now.0 + wait_ms as i64 * 1000);
        match &self.front.fleet {
            Some(fleet) => fleet.dispatch_deadline(deadline),
            None => deadline,
        }
    }
}

fn rejection_error(reason: impl std::fmt::Display) -> CommandError {
    CommandError::new(errors::REJECTED, format!("refused: nothing ran: {reason}"))
}
