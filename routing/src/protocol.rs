//! The interface of a wire protocol to endpoints: connecting, and one exchange at a time on each connection.
pub use crate::permit::{AttemptGuard, ConnectionPermit, Handshake, ServerSocket, WritePermit};
use decision::{MemberReport, Outcome, Time};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// One exchange with an endpoint: a message and its response.
pub enum Exchange<'a, P: BackendProtocol> {
    /// A request's payload, and the moment at which the router stops waiting for its response.
    Attempt(&'a P::Payload, Instant),
    /// A health check, which asks the endpoint for its load report.
    Probe,
}

/// How an exchange ended.
pub struct ExchangeResult<R> {
    /// How it ended.
    pub outcome: Outcome,
    /// The response for the client, if the request was served.
    pub response: Option<R>,
    /// What the response states about the endpoint itself. For a write that was served, its position is the commit if
    /// `commit` is absent.
    pub response_report: MemberReport,
    /// When the write was committed; `None` for a read.
    pub commit: Option<Time>,
    /// The load report that came with the response.
    pub load_report: MemberReport,
    /// The connection can carry another exchange.
    pub reusable: bool,
}

impl<R> ExchangeResult<R> {
    /// A result that carries an outcome and nothing else; its connection is not reused.
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

/// A wire protocol to endpoints.
pub trait BackendProtocol: Send + Sync + Sized + 'static {
    /// What a request sends to an endpoint.
    type Payload: Send + Sync + 'static;
    /// What an endpoint responds.
    type Response: Send + 'static;
    /// A connection to an endpoint.
    type Connection: Connection<Self> + Send;

    /// Opens a connection that is ready for an exchange. [`Handshake::connect`] takes the permit.
    ///
    /// # Errors
    /// Nothing has run; the outcome says whether the endpoint rejected the connection or could not be reached.
    fn connect(&self, addr: SocketAddr, permit: ConnectionPermit) -> Result<Self::Connection, Outcome>;
}

/// A connection that carries one exchange at a time.
pub trait Connection<P: BackendProtocol> {
    /// The socket, which is shut down to cancel an exchange.
    fn socket(&self) -> ServerSocket;

    /// Whether a connection that has been idle for this long is still usable; nothing may be written to one that is
    /// not. A firewall or proxy may have dropped a long idle connection silently, so a protocol checks the round trip,
    /// for which it uses the permit, or returns `false`.
    fn is_usable(&mut self, idle_for: Duration, permit: ConnectionPermit) -> bool;

    /// Carries one exchange to its end. [`AttemptGuard::permit_write`] must be called right before the first byte, also of
    /// a preparatory message and of anything written after a response. The write of the request's last byte consumes the
    /// permit.
    ///
    /// # Errors
    /// The exchange was not completely written, so it never ran.
    fn execute(
        &mut self,
        exchange: Exchange<'_, P>,
        guard: &AttemptGuard,
    ) -> Result<ExchangeResult<P::Response>, NotSent>;
}

/// The reason for which an exchange was not completely written. It never ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotSent {
    /// The connection broke before the last byte was written.
    ConnectionBroken,
    /// The guard did not allow the first byte.
    Cancelled,
}
