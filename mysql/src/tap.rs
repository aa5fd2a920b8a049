//! What a front shows of its conversations, for a recording.
use std::net::SocketAddr;

/// Sees what clients and the router send each other. It is called on the connections' threads and must not block.
pub trait Tap: Send + Sync + 'static {
    /// Bytes went over a client's connection.
    fn bytes(&self, connection: u64, client: SocketAddr, from_client: bool, bytes: &[u8]);
    /// A client's connection has ended.
    fn ended(&self, connection: u64);
}
