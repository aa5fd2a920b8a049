//! The hook through which the front passes the traffic of clients to a recording.
use std::net::SocketAddr;

/// Observes the bytes that clients and the router send each other. It is called on the connections' threads and must not block.
pub trait Tap: Send + Sync + 'static {
    /// Bytes were sent on a client's connection, by the client or else by the router.
    fn bytes(&self, connection: u64, client: SocketAddr, from_client: bool, bytes: &[u8]);
    /// A client's connection has ended.
    fn ended(&self, connection: u64);
}
