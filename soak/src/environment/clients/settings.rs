//! What clients are started with, and their faults.
use crate::time::Micros;
use std::net::SocketAddr;

/// What the clients are started with.
pub struct ClientSettings {
    /// The routers' addresses.
    pub routers: Vec<SocketAddr>,
    /// How many clients.
    pub clients: usize,
    /// Groups of servers.
    pub groups: usize,
    /// The pause between two requests, on average.
    pub think: Micros,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// Faults of the clients; probabilities are out of [`PROBABILITY_SCALE`] for each request.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientFaults {
    /// They disconnect while they wait for an answer.
    pub disconnect: u32,
    /// They stall in the middle of a command.
    pub stall: u32,
    /// They send this many requests at once; 0 counts as 1.
    pub pipelined: usize,
    /// They cancel while they wait.
    pub cancel: u32,
    /// This many more clients connect at once, send a request and close.
    pub flood: usize,
}

/// Probabilities of [`ClientFaults`] are out of so many.
pub const PROBABILITY_SCALE: u32 = 1000;
