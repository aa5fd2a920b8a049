//! Requests as the fronts hand them over.
use crate::final_response::FinalResponse;
use crate::protocol::BackendProtocol;
use crossbeam_channel::Sender;
use decision::{GroupId, SessionId, Time};
use std::sync::Arc;

/// A request as a front hands it over.
pub struct ClientRequest<P: BackendProtocol> {
    /// The number of the connection that it arrived on, for the log.
    pub connection: u64,
    /// Its class, an index into the settings.
    pub class: usize,
    /// Its tenant, if it names one.
    pub tenant: Option<Arc<str>>,
    /// Its session.
    pub session: Option<SessionId>,
    /// Its group.
    pub group: GroupId,
    /// The client stops waiting at this time.
    pub deadline: Time,
    /// The commit of its session that it must see.
    pub session_commit: Option<Time>,
    /// The message for an endpoint.
    pub payload: P::Payload,
    /// Receives the final response; its channel must have capacity for it.
    pub response_sender: Sender<FinalResponse<P::Response>>,
}
