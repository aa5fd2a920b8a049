//! Traits that a wire protocol implements to connect to endpoints and to run one exchange at a time on each
//! connection.
pub use crate::permit::{AttemptGuard, ConnectionPermit, Handshake, ServerSocket, WritePermit};
use decision::{MemberReport, Outcome, Time};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// An exchange with an endpoint: a message and its response.
pub enum Exchange<'a, P: BackendProtocol> {
    /// The payload of a request, and the time at which the router stops waiting for the response.
    Attempt(&'a P::Payload, Instant),
    /// A health check that requests the endpoint's load report.
    Probe,
}

/// Result of an exchange.
pub struct ExchangeResult<R> {
    /// Outcome of the exchange.
    pub outcome: Outcome,
    /// Response to forward to the client, if the request was served.
    pub response: Option<R>,
    /// Role and position of the endpoint that the response itself reports. For a served write whose `commit`
    /// is `None`, the position is the position of the commit.
    pub response_report: MemberReport,
    /// Commit time of a write; `None` for a read.
    pub commit: Option<Time>,
    /// Load report that the endpoint sent with the response.
    pub load_report: MemberReport,
    /// Whether the connection can be reused for another exchange.
    pub reusable: bool,
}

impl<R> ExchangeResult<R> {
    /// Creates a result that has only an outcome. The connection is not reused.
    pub fn from_outcome(outcome: Outcome) -> Self {
        ExchangeResult {
            outcome,
            response: None,
            response_report: MemberReport::default(),
            commit: None,
            load_report: MemberReport::default(),
            reusable: false,
        }
    }
}

impl<R> ExchangeResult<R> {
    /// Converts the response, if there is one.
    pub fn map_response<S>(self, convert: impl FnOnce(R) -> S) -> ExchangeResult<S> {
        ExchangeResult {
            outcome: self.outcome,
            response: self.response.map(convert),
            response_report: self.response_report,
            commit: self.commit,
            load_report: self.load_report,
            reusable: self.reusable,
        }
    }
}

/// A wire protocol for communicating with endpoints.
pub trait BackendProtocol: Send + Sync + Sized + 'static {
    /// Type of the message that a request sends to an endpoint.
    type Payload: Send + Sync + 'static;
    /// Type of an endpoint's response.
    type Response: Send + 'static;
    /// Type of a connection to an endpoint.
    type Connection: Connection<Self> + Send;

    /// Opens a connection that is ready for an exchange. [`Handshake::connect`] consumes the permit.
    ///
    /// # Errors
    /// Returns an outcome that distinguishes between a rejected connection and an unreachable endpoint. In
    /// both cases no part of the request has run.
    fn connect(&self, addr: SocketAddr, permit: ConnectionPermit) -> Result<Self::Connection, Outcome>;
}

/// A connection to an endpoint that runs one exchange at a time.
pub trait Connection<P: BackendProtocol> {
    /// Returns the socket, which is shut down to cancel an exchange.
    fn socket(&self) -> ServerSocket;

    /// Returns whether the connection is still usable after it has been idle for this long. If not, nothing
    /// may be written to it. A firewall or proxy may have dropped the connection silently, so after a long
    /// idle time the protocol either verifies it with a round trip, using the permit, or returns `false`.
    fn is_usable(&mut self, idle_for: Duration, permit: ConnectionPermit) -> bool;

    /// Prepares the connection for the request of another client, after an exchange whose result is reusable:
    /// nothing that a request left in the endpoint's session may reach the next request. Called only by
    /// [`crate::released_connection::ReleasedConnection::release`], right after each exchange. Must not wait for the endpoint.
    ///
    /// Returns `false` if the state of the session is unknown. The connection is closed then.
    fn release(&mut self, permit: ConnectionPermit) -> bool;

    /// Runs an exchange with the endpoint to its end. [`AttemptGuard::permit_write`] must be called
    /// immediately before the first byte, including the first byte of a preparatory message and of anything
    /// written after a response. Writing the last byte of the request consumes the permit.
    ///
    /// # Errors
    /// Returns [`NotSent`] if the exchange was not completely written, in which case the server has not
    /// executed it.
    fn execute(
        &mut self,
        exchange: Exchange<'_, P>,
        guard: &AttemptGuard,
    ) -> Result<ExchangeResult<P::Response>, NotSent>;
}

/// Reason for which an exchange was not completely written. The server has not executed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotSent {
    /// The connection failed before the last byte was written.
    ConnectionBroken,
    /// The guard denied writing the first byte.
    Cancelled,
}
