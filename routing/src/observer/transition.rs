//! Transitions of a request that are reported to the observer.
use decision::{Outcome, Time};

/// The way in which a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The request ended with a server's response.
    Served,
    /// The request was rejected, so the client may safely retry it.
    Rejected,
    /// The request failed and may have run.
    Failed,
    /// The client cancelled the request.
    Cancelled,
    /// The client disconnected before the response.
    ClientDisconnected,
}

impl Ending {
    /// Returns the name that is used in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Ending::Served => "served",
            Ending::Rejected => "rejected",
            Ending::Failed => "failed",
            Ending::Cancelled => "cancelled",
            Ending::ClientDisconnected => "dropped",
        }
    }
}

/// The end of an attempt, with the times that are checked.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// Number of the attempt within its request, counted from 0.
    pub attempt: u32,
    /// Time at which the first byte was permitted; `None` if it was not.
    pub permitted_at: Option<Time>,
    /// Whether the last byte was written.
    pub sent: bool,
    /// Time at which the endpoint went out of service, if that was before the first byte was permitted.
    pub endpoint_out_of_service_since: Option<Time>,
    /// Outcome of the attempt.
    pub outcome: Outcome,
}

/// A state transition of an open request.
#[derive(Clone, Copy, Debug)]
pub enum Transition {
    /// The request was accepted by the router actor.
    Accepted {
        /// Request class, as an index into the classes of the settings.
        class: usize,
        /// Time at which the client stops waiting for a response.
        deadline: Time,
    },
    /// An attempt was sent to its endpoint's backend.
    AttemptDispatched {
        /// Number of the attempt within its request, counted from 0.
        attempt: u32,
        /// Time at which the router stops waiting for the attempt. The server gets the same deadline.
        deadline: Time,
    },
    /// An attempt of the request has ended.
    AttemptEnded(AttemptEnd),
    /// The request has ended, with or without a response.
    Ended(Ending),
}
