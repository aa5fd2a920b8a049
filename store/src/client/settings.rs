//! Settings of a store client.
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of a client.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The addresses where the nodes listen for clients (`store.clients`); the first one is tried first.
    pub nodes: Vec<SocketAddr>,
    /// How long a call keeps making attempts. The last attempt may exceed this by
    /// [`Settings::attempt_timeout`].
    pub call_timeout: Duration,
    /// Timeout for connecting to a node and for each of its responses.
    pub attempt_timeout: Duration,
    /// Seed for the random jitter of the backoff.
    pub backoff_seed: u64,
}

impl Settings {
    /// Creates settings with the default timeouts.
    pub fn new(nodes: Vec<SocketAddr>, backoff_seed: u64) -> Settings {
        let call_timeout = Duration::from_secs(10);
        let attempt_timeout = Duration::from_millis(1500);
        Settings { nodes, call_timeout, attempt_timeout, backoff_seed }
    }
}
