//! The settings and the faults of the clients.
use crate::time::Micros;
use std::net::SocketAddr;

/// The settings of the clients.
pub struct ClientSettings {
    /// The addresses of the routers.
    pub routers: Vec<SocketAddr>,
    /// The number of clients.
    pub clients: usize,
    /// The number of replication groups.
    pub groups: usize,
    /// The average pause of a client between two requests.
    pub think_time: Micros,
    /// The seed of the random numbers.
    pub seed: u64,
}

/// The faults of the clients. Probabilities are per request, in units of 1 / [`PROBABILITY_SCALE`].
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientFaults {
    /// The probability that a client disconnects while it waits for a response.
    pub disconnect: u32,
    /// The probability that a client stalls in the middle of a message.
    pub stall: u32,
    /// The number of requests that a client sends at once; 0 counts as 1.
    pub pipelined: usize,
    /// The probability that a client cancels while it waits for a response.
    pub cancel: u32,
    /// The number of additional clients that connect at once, send one request and disconnect.
    pub flood: usize,
    /// The delay between a client's connect and its first request. While it is set, requests have the longest
    /// timeout of their class.
    pub first_request_delay: Option<Micros>,
}

/// The denominator of the probabilities in [`ClientFaults`].
pub const PROBABILITY_SCALE: u32 = 1000;
