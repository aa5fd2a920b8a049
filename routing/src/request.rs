//! Requests that the client front ends submit to the router actor.
use crate::final_response::FinalResponse;
use crate::protocol::BackendProtocol;
use crossbeam_channel::Sender;
use decision::{GroupId, SessionId, Time};
use std::sync::Arc;

/// A client request, as submitted by a front end.
pub struct ClientRequest<P: BackendProtocol> {
    /// Number of the client connection, for logging.
    pub connection: u64,
    /// Request class, as an index into the classes of the settings.
    pub class: usize,
    /// Name of the tenant, if the request has one.
    pub tenant: Option<Arc<str>>,
    /// Session of the request, if it has one.
    pub session: Option<SessionId>,
    /// Replication group that the request is addressed to.
    pub group: GroupId,
    /// Time at which the client stops waiting for a response.
    pub deadline: Time,
    /// Commit of the session that the request must observe.
    pub session_commit: Option<Time>,
    /// Whether the request may run in part before it fails, so that no error of an endpoint proves that it never
    /// ran.
    pub may_run_partially: bool,
    /// Message to send to an endpoint.
    pub payload: P::Payload,
    /// Channel for the final response, which must have capacity for one message.
    pub response_sender: Sender<FinalResponse<P::Response>>,
}
