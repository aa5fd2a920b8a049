//! Reasons for which a request was rejected, failed or retried, and for which a client connection was closed.
//! Each set of names is closed and is used both in log lines and in metrics.
use decision::Outcome;

/// Returns the name of an outcome that is used in log lines and metrics.
pub fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "ok",
        Outcome::Error => "error",
        Outcome::Rejected => "rejected_by_server",
        Outcome::TimedOut => "timed_out",
        Outcome::ConnectFailed => "connect_failed",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::NeverSent => "never_sent",
        Outcome::NotEligible => "not_eligible",
    }
}

/// All outcomes of attempts and probes.
pub const OUTCOMES: [Outcome; 9] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NeverSent,
    Outcome::NotEligible,
];

/// Reason for which a request ended without being served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// All endpoints of the request's group are in maintenance or were removed.
    GroupUnavailable,
    /// The tenant's placement rules allow no endpoint that could serve the request.
    PlacementDenied,
    /// No attempt was made, because no endpoint had capacity or the deadline had expired.
    NotForwarded,
    /// The last attempt ended with this outcome.
    AttemptOutcome(Outcome),
    /// The client cancelled the request.
    ClientCancelled,
    /// The client disconnected before the request ended.
    ClientDisconnected,
}

impl EndReason {
    /// Returns the name that is used in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            EndReason::GroupUnavailable => "group_unavailable",
            EndReason::PlacementDenied => "placement_denied",
            EndReason::NotForwarded => "not_forwarded",
            EndReason::AttemptOutcome(outcome) => outcome_name(outcome),
            EndReason::ClientCancelled => "client_cancelled",
            EndReason::ClientDisconnected => "client_left",
        }
    }
}

/// Reason for which a client connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum CloseReason {
    /// The client disconnected from the router.
    ClientDisconnected = 1,
    /// The client did not read its responses within the time limit.
    ClientStalled = 2,
    /// The client sent a message that cannot be decoded or that is incomplete.
    Malformed = 3,
    /// The connection was idle for longer than the idle timeout.
    IdleTimeout = 4,
    /// The connection was closed to admit a new connection at the connection limit.
    Evicted = 5,
    /// The router is shutting down or draining.
    ShuttingDown = 6,
    /// No thread could be started for the connection.
    NoThread = 7,
    /// The connection handler finished normally, for example after a cancel request or a rejected login.
    Finished = 8,
}

impl CloseReason {
    /// All reasons for closing a client connection.
    pub const ALL: [CloseReason; 8] = [
        CloseReason::ClientDisconnected,
        CloseReason::ClientStalled,
        CloseReason::Malformed,
        CloseReason::IdleTimeout,
        CloseReason::Evicted,
        CloseReason::ShuttingDown,
        CloseReason::NoThread,
        CloseReason::Finished,
    ];

    /// Returns the name that is used in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::ClientDisconnected => "client_left",
            CloseReason::ClientStalled => "client_stalled",
            CloseReason::Malformed => "malformed",
            CloseReason::IdleTimeout => "idle_timeout",
            CloseReason::Evicted => "evicted",
            CloseReason::ShuttingDown => "shutting_down",
            CloseReason::NoThread => "no_thread",
            CloseReason::Finished => "finished",
        }
    }

    /// Returns the close reason with this discriminant, as stored in an atomic integer, or
    /// [`CloseReason::Finished`] if the number is unknown.
    pub fn from_number(number: u8) -> CloseReason {
        Self::ALL.into_iter().find(|reason| *reason as u8 == number).unwrap_or(CloseReason::Finished)
    }
}
