//! How a client of the store works.
use std::net::SocketAddr;
use std::time::Duration;

/// How a client works.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where the nodes answer clients (`store.clients`); the first is tried first.
    pub nodes: Vec<SocketAddr>,
    /// How long a call makes attempts. The last one may take [`Settings::attempt_timeout`] longer.
    pub call_timeout: Duration,
    /// How long one node may take to connect, or to respond.
    pub attempt_timeout: Duration,
    /// Seeds the draws of backoff.
    pub backoff_seed: u64,
}

impl Settings {
    /// The usual timeouts.
    pub fn new(nodes: Vec<SocketAddr>, backoff_seed: u64) -> Settings {
        let call_timeout = Duration::from_secs(10);
        let attempt_timeout = Duration::from_millis(1500);
        Settings { nodes, call_timeout, attempt_timeout, backoff_seed }
    }
}
