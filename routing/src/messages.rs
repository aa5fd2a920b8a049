//! Messages between the actors of the core. The actors depend on these types and not on each other's
//! implementation.
use crate::attempt_id::AttemptId;
use crate::endpoint::EndpointUpdate;
use crate::idle_connection::IdleConnection;
use crate::permit::AttemptGuard;
use crate::permit::EndpointState;
use crate::protocol::{BackendProtocol, ExchangeResult};
use crate::request::ClientRequest;
use crossbeam_channel::Sender;
use decision::{GroupId, MemberId, MemberReport, Outcome, RequestId, Time};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

/// Messages to the router actor.
pub enum RouterMessage<P: BackendProtocol> {
    /// A request was submitted by a protocol front end.
    RequestArrived {
        /// ID that was assigned to the request.
        id: RequestId,
        /// The request that the client submitted.
        request: ClientRequest<P>,
    },
    /// The client of the request with this ID has disconnected.
    ClientDisconnected(RequestId),
    /// The client has cancelled the request with this ID and is waiting for the final response.
    RequestCancelled(RequestId),
    /// An attempt has ended.
    AttemptEnded {
        /// ID of the attempt.
        attempt: AttemptId,
        /// Canonical member ID of the endpoint.
        member: MemberId,
        /// Outcome of the exchange.
        result: ExchangeResult<P::Response>,
    },
    /// A probe has ended.
    ProbeEnded {
        /// Canonical member ID of the endpoint.
        member: MemberId,
        /// Outcome of the exchange.
        outcome: Outcome,
        /// Load report returned by the probe.
        report: MemberReport,
    },
    /// The number of backend connections is close to its limit.
    ConnectionsNearLimit {
        /// Maximum number of idle connections to retain per endpoint.
        max_idle: usize,
    },
    /// The endpoint list has changed.
    Endpoints(EndpointUpdate),
    /// Groups without an available endpoint, of which at least one is in maintenance. Requests for these
    /// groups are rejected immediately.
    UnavailableGroups(BTreeSet<GroupId>),
    /// Number of processes that run as this router and share its capacity.
    ProcessCount(u32),
    /// The tenants' placement rules have changed or were confirmed.
    Placement(placement::RulesUpdate),
    /// Number of routers that share the capacity of the endpoints, including this one.
    RouterCount(u32),
    /// The shutdown of the process has begun.
    ShutdownStarted {
        /// Time at which it began.
        at: Time,
    },
}

/// Identifies a backend. IDs are never reused. An endpoint whose address changes retains its member ID but
/// gets a new backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct BackendId(pub(crate) u64);

/// A command together with the ID of the backend that it is addressed to.
pub(crate) struct AddressedCommand<P: BackendProtocol> {
    pub(crate) backend: BackendId,
    pub(crate) command: BackendCommand<P>,
}

/// Sender to the mailbox of the backends actor.
pub(crate) type BackendSender<P> = Sender<AddressedCommand<P>>;

/// Commands to a backend.
///
/// A command may be lost when the mailbox is full. This is safe for commands that only trigger work early,
/// and for commands whose sender handles the failure. Whether an exchange may start is determined by its
/// [`AttemptGuard`] and the [`EndpointState`], not by the order of commands.
pub(crate) enum BackendCommand<P: BackendProtocol> {
    /// Create the backend of an endpoint.
    Create {
        /// Canonical member ID of the endpoint.
        member: MemberId,
        /// Address of the endpoint.
        addr: SocketAddr,
        /// Shared state that specifies whether the endpoint accepts new exchanges.
        state: EndpointState,
    },
    /// Execute an attempt, unless its guard forbids that.
    Attempt {
        /// ID of the attempt.
        attempt: AttemptId,
        /// Request payload to send to the endpoint.
        payload: Arc<P::Payload>,
        /// Time at which the router stops waiting for the response.
        deadline: Instant,
        /// Permits the steps of the attempt and cancels it.
        guard: AttemptGuard,
    },
    /// Send a probe to the endpoint to request its load report.
    Probe,
    /// Close all idle connections, because the endpoint is out of service. If this command is lost, the next
    /// periodic check closes them.
    CloseIdle,
    /// Close surplus idle connections, because the process is near its connection limit.
    TrimIdle {
        /// Maximum number of idle connections to retain. The most recently used ones are retained.
        max_idle: usize,
    },
    /// Remove the backend, which the router actor no longer uses.
    Remove,
    /// An exchange of this backend has ended.
    ExchangeEnded {
        /// The connection of the exchange if it can be reused.
        connection: Option<IdleConnection<P>>,
    },
}
