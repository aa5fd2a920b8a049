//! An endpoint list without backends: its actor applies updates, and the test receives the messages that the
//! router's actor would receive.
use crossbeam_channel::Sender;
use routing::{
    AttemptGuard, BackendProtocol, Clock, Connection, ConnectionPermit, EndpointEntry, EndpointsHandle,
    Exchange, ExchangeResult, GroupId, MemberState, Metrics, NotSent, Outcome, RouterMessage, ServerSocket,
    WallClock,
};
use settings::Limits;
use settings::limits::{ProcessResources, RequestTimes};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Timeout of a test's waits; reached only if the test fails.
pub const TIMEOUT: Duration = Duration::from_secs(20);

const MAX_DESCRIPTORS: usize = 256;
const MEMORY_BYTES: usize = 192 << 20;

/// A backend protocol for tests that open no backend connections.
pub struct NoProtocol;

/// The connection type of [`NoProtocol`]; no test creates one.
pub struct NoConnection(ServerSocket);

impl BackendProtocol for NoProtocol {
    type Payload = ();
    type Response = ();
    type Connection = NoConnection;

    fn connect(&self, _: SocketAddr, _: ConnectionPermit) -> Result<NoConnection, Outcome> {
        unreachable!("tests with NoProtocol open no backend connection")
    }
}

impl Connection<NoProtocol> for NoConnection {
    fn socket(&self) -> ServerSocket {
        self.0.clone()
    }

    fn is_usable(&mut self, _: Duration, _: ConnectionPermit) -> bool {
        false
    }

    fn release(&mut self, _: ConnectionPermit) -> bool {
        true
    }

    fn execute(
        &mut self,
        _: Exchange<'_, NoProtocol>,
        _: &AttemptGuard,
    ) -> Result<ExchangeResult<()>, NotSent> {
        Err(NotSent::ConnectionBroken)
    }
}

/// Limits that no test reaches, with `timeout` for each of the times.
pub fn limits(timeout: Duration) -> Limits {
    Limits::new(
        ProcessResources { descriptors: MAX_DESCRIPTORS, memory_bytes: MEMORY_BYTES },
        RequestTimes { connect_timeout: timeout, backend_keepalive: timeout, longest_deadline: timeout },
    )
}

/// Returns the loopback address with this port.
pub fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Returns the entry of a ready replica on loopback, without a site, that counts as started long ago.
pub fn endpoint(id: &str, port: u16, group: GroupId) -> EndpointEntry {
    EndpointEntry {
        id: id.into(),
        addr: addr(port),
        group,
        zone: 0,
        site: None,
        state: MemberState::Ready,
        listed_primary: false,
        weight: 1.0,
        started_at: None,
    }
}

/// Starts the actor of an endpoint list. `router` receives the messages for the router's actor.
///
/// # Panics
/// Panics if the operating system cannot start a thread.
pub fn start_endpoints(
    limits: &Limits,
    router: Sender<RouterMessage<NoProtocol>>,
    metrics: Option<Arc<Metrics>>,
) -> EndpointsHandle {
    routing::endpoints::start(limits, router, metrics, WallClock::new(Clock::new()))
        .expect("the operating system can start a thread")
}
