//! Interface through which the front passes client traffic to a recorder.
use std::net::SocketAddr;

/// Observes the bytes that clients and the router exchange. The methods are called on the connections'
/// threads and must not block.
pub trait Tap: Send + Sync + 'static {
    /// Called when bytes are sent on a client connection, by the router if `from_client` is false.
    fn on_bytes(&self, connection: u64, client: SocketAddr, from_client: bool, bytes: &[u8]);
    /// Called when a client connection is closed.
    fn on_closed(&self, connection: u64);
}
