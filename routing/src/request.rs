//! Requests as the fronts hand them over, and their final responses.
use crate::protocol::BackendProtocol;
use crossbeam_channel::Sender;
use decision::{GroupId, Outcome, RequestId, SessionId, Time};
use placement::Refusal;
use std::sync::Arc;
use std::time::Duration;

/// The one final response of a request.
#[derive(Debug)]
pub enum FinalResponse<R> {
    /// What an endpoint responded; of a write also when it was committed, if that is known.
    Served(R, Option<Time>),
    /// Not served, and it may safely be retried, after this time if one is given.
    Rejected(Option<Duration>),
    /// Not served, and it may have run; how its last attempt ended, if it had any.
    Failed(Option<Outcome>),
    /// Not served: its tenant's data may not be where the request would have to go. Nothing ran.
    PlacementDenied(Refusal),
    /// Cancelled by its client; what had started by then may have run.
    Cancelled,
}

/// A request as a front hands it over.
pub struct ClientRequest<P: BackendProtocol> {
    /// The connection that it came on, for the log.
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
    /// What is sent to an endpoint.
    pub payload: P::Payload,
    /// Gets the final response; must have room for it.
    pub response_sender: Sender<FinalResponse<P::Response>>,
}

/// One attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Its number among the request's attempts, from 0.
    pub number: u32,
}
