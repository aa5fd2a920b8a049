//! Submission of a request to the routing core, and its final response.
use super::shared::Front;
use crate::errors::{self, CommandError};
use crate::request::{Request, ResponsePayloads};
use crate::requirements::Requirements;
use client_listener::Connection;
use crossbeam_channel::bounded;
use routing::{ClientRequest, FinalResponse, GroupId, Time};
use sessions::SessionKey;
use sessions::node::{CommitOutcome, SessionRef};
use std::sync::Arc;

/// Whose requests a connection submits.
pub(super) struct Submitter<'a> {
    pub(super) front: &'a Front,
    pub(super) connection: &'a Connection,
    pub(super) user: &'a str,
}

impl Submitter<'_> {
    /// Submits a request and waits for its final response. `class` may differ from the statement's: preparing has one of
    /// its own.
    pub(super) fn run(
        &self,
        requirements: &Requirements,
        class: usize,
        request: Request,
    ) -> Result<ResponsePayloads, CommandError> {
        let now = self.front.handle.clock.now();
        let settings = self.front.settings();
        let sessions = &self.front.sessions;
        let group = GroupId(requirements.group);
        let session = self.session(requirements, group);
        let session_commit = if settings.class_uses_session[class] {
            sessions.required_position(session).map_err(rejected)?
        } else {
            sessions.check_serving(session).map_err(rejected)?;
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
            payload: request,
            response_sender: sender,
        };
        // If the client has disconnected meanwhile, nobody reads its response.
        let id = self.connection.submit(|| self.front.handle.submit(client_request));
        let response = receiver.recv().unwrap_or(FinalResponse::Failed(None));
        if let Some(id) = id {
            self.connection.in_flight_requests.finish(id);
        }
        // The client gets the response to a write once no read of its session can miss the write any more.
        if let FinalResponse::Served(_, Some(commit)) = &response
            && !settings.class_is_read[class]
            && sessions.record_commit(session, *commit, deadline) == CommitOutcome::Uncertain
        {
            let text = "it has run, but its session can't rely on it";
            return Err(CommandError::new(errors::TIMED_OUT, text));
        }
        Ok(errors::encode_final_response(response).map_or_else(|served| served, |error| vec![error]))
    }

    /// A connection without a named session is one of its own: it sees its own writes.
    fn session(&self, requirements: &Requirements, group: GroupId) -> SessionRef {
        match &requirements.session {
            Some(name) => SessionRef::Named(SessionKey::named(group, name)),
            None => SessionRef::Connection(SessionKey::connection(group, self.connection.id)),
        }
    }

    /// The tenant that the request is for, once the fleet has admitted it.
    fn tenant(
        &self,
        requirements: &Requirements,
        is_prepare: bool,
    ) -> Result<Option<Arc<str>>, CommandError> {
        let Some(fleet) = &self.front.fleet else { return Ok(None) };
        let name = requirements.tenant.as_deref();
        // Preparing runs nothing: it costs its tenant nothing, and goes only where the tenant may go.
        let tenant =
            if is_prepare { fleet.resolve_tenant(self.user, name) } else { fleet.admit(self.user, name) };
        tenant.map_err(rejected)
    }

    fn deadline(&self, now: Time, wait_ms: u64) -> Time {
        let deadline = Time(now.0 + wait_ms as i64 * 1000);
        match &self.front.fleet {
            Some(fleet) => fleet.dispatch_deadline(deadline),
            None => deadline,
        }
    }
}

fn rejected(reason: impl std::fmt::Display) -> CommandError {
    CommandError::new(errors::REJECTED, format!("refused: nothing ran: {reason}"))
}
