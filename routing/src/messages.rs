//! The messages between the core's actors. The actors depend on this file and not on each other's insides.
use crate::attempt_id::AttemptId;
use crate::endpoint::EndpointUpdate;
use crate::idle_connection::IdleConnection;
use crate::permit::AttemptGuard;
use crate::permit::EndpointState;
use crate::protocol::{BackendProtocol, ExchangeResult};
use crate::request::ClientRequest;
use crossbeam_channel::Sender;
use decision::{GroupId, MemberId, MemberReport, Outcome, RequestId};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

/// The messages to the router actor.
pub enum RouterMessage<P: BackendProtocol> {
    /// A request has arrived.
    RequestArrived {
        /// Its id.
        id: RequestId,
        /// The request.
        request: ClientRequest<P>,
    },
    /// The client of this request has disconnected.
    ClientDisconnected(RequestId),
    /// The client has cancelled this request and waits for its final response.
    RequestCancelled(RequestId),
    /// An attempt has ended.
    AttemptEnded {
        /// Which attempt.
        attempt: AttemptId,
        /// The endpoint's own member.
        member: MemberId,
        /// How it ended.
        result: ExchangeResult<P::Response>,
    },
    /// A probe has ended.
    ProbeEnded {
        /// The endpoint's own member.
        member: MemberId,
        /// How it ended.
        outcome: Outcome,
        /// What the endpoint reported.
        report: MemberReport,
    },
    /// The number of connections to endpoints is close to its limit.
    ConnectionsNearLimit {
        /// Idle connections that each endpoint may keep.
        max_idle: usize,
    },
    /// An update of the endpoint list.
    Endpoints(EndpointUpdate),
    /// No endpoint of these groups is available, at least partly because of maintenance: requests for them are rejected
    /// at once.
    UnavailableGroups(BTreeSet<GroupId>),
    /// This many processes serve as this router and share its capacity.
    ProcessCount(u32),
    /// An update of where tenants' data may be.
    Placement(placement::RulesUpdate),
    /// This many routers share the endpoints, this one included.
    RouterCount(u32),
}

/// The id of a backend, which is never reused: an endpoint that is listed under another address keeps its member id,
/// but gets a new backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct BackendId(pub(crate) u64);

/// A command with the backend that it is for.
pub(crate) struct AddressedCommand<P: BackendProtocol> {
    pub(crate) backend: BackendId,
    pub(crate) command: BackendCommand<P>,
}

/// The mailbox of the backends' actor.
pub(crate) type BackendSender<P> = Sender<AddressedCommand<P>>;

/// The commands to a backend.
///
/// A full mailbox may lose a command that has no effect of its own or whose failure the sender answers for: whether an
/// exchange may start is read from its [`AttemptGuard`] and the [`EndpointState`].
pub(crate) enum BackendCommand<P: BackendProtocol> {
    /// Create the backend.
    Create {
        /// The endpoint's own member.
        member: MemberId,
        /// Where the endpoint listens.
        addr: SocketAddr,
        /// Whether the endpoint accepts exchanges, from now on.
        state: EndpointState,
    },
    /// Carry an attempt, unless its guard forbids it.
    Attempt {
        /// Which attempt.
        attempt: AttemptId,
        /// What to send.
        payload: Arc<P::Payload>,
        /// The router stops waiting for it at this moment.
        deadline: Instant,
        /// Cancels it.
        guard: AttemptGuard,
    },
    /// Ask the endpoint for its load report.
    Probe,
    /// The endpoint is out of service: close its idle connections. If this is lost, the next periodic check does so.
    CloseIdle,
    /// The process is near its limit of connections: close idle ones.
    TrimIdle {
        /// The number to keep; the most recently used ones stay.
        max_idle: usize,
    },
    /// The router actor does not need the backend any more.
    Remove,
    /// An exchange has ended.
    ExchangeEnded {
        /// Its connection, if that can carry another exchange.
        connection: Option<IdleConnection<P>>,
    },
}
