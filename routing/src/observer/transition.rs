//! The transitions of a request that the observer is notified of, from its arrival to its end.
use decision::{Outcome, Time};

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// With a server's response.
    Served,
    /// Rejected: its client may safely retry.
    Rejected,
    /// Failed: it may have run.
    Failed,
    /// Cancelled by its client.
    Cancelled,
    /// Without a response: its client has disconnected.
    ClientDisconnected,
}

impl Ending {
    /// The name in log lines.
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

/// The end of an attempt, with the times that the checks go by.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// The attempt's number among those of its request, from 0.
    pub attempt: u32,
    /// When its first byte was permitted; `None` if it never was.
    pub permitted_at: Option<Time>,
    /// Its last byte was written.
    pub sent: bool,
    /// When its endpoint left service, if it had by the time of the permit.
    pub endpoint_left_at: Option<Time>,
    /// How it ended.
    pub outcome: Outcome,
}

/// A transition of an open request.
#[derive(Clone, Copy, Debug)]
pub enum Transition {
    /// The request was accepted.
    Accepted {
        /// Its class, an index into the settings.
        class: usize,
        /// Its client stops waiting at this time.
        deadline: Time,
    },
    /// An attempt was dispatched to its endpoint's connections.
    AttemptDispatched {
        /// The attempt's number among those of its request, from 0.
        attempt: u32,
        /// The router stops waiting for it at this time, which is also the deadline that the server gets.
        deadline: Time,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptEnd),
    /// The request has ended.
    Ended(Ending),
}
