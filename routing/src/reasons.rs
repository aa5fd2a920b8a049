//! The reasons for which a request was rejected, failed or retried, and for which a client's connection was closed. They
//! are closed sets of names that log lines and metrics share.
use decision::Outcome;

/// The name of an outcome in log lines and metrics.
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

/// All outcomes.
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

/// Why a request ended without being served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// Every endpoint of its group is in maintenance or removed.
    GroupUnavailable,
    /// Its tenant's placement rules allow no endpoint that could serve it.
    PlacementDenied,
    /// No attempt was made: no endpoint had capacity, or its deadline had passed.
    NotForwarded,
    /// Its last attempt ended with this outcome.
    After(Outcome),
    /// Its client cancelled it.
    ClientCancelled,
    /// Its client disconnected.
    ClientDisconnected,
}

impl EndReason {
    /// The name in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            EndReason::GroupUnavailable => "group_unavailable",
            EndReason::PlacementDenied => "placement_denied",
            EndReason::NotForwarded => "not_forwarded",
            EndReason::After(outcome) => outcome_name(outcome),
            EndReason::ClientCancelled => "client_cancelled",
            EndReason::ClientDisconnected => "client_left",
        }
    }
}

/// Why a client's connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum CloseReason {
    /// The client has disconnected.
    ClientDisconnected = 1,
    /// The client did not read its responses for too long.
    ClientStalled = 2,
    /// The client sent a message that can't be decoded, or only a part of one.
    Malformed = 3,
    /// It was idle for longer than the limit.
    IdleTimeout = 4,
    /// Its place was needed for a new connection.
    Evicted = 5,
    /// The router shuts down, or operators drain it.
    ShuttingDown = 6,
    /// No thread could be started for it.
    NoThread = 7,
    /// Its handler ended it regularly, after a cancel request or a rejected login.
    Finished = 8,
}

impl CloseReason {
    /// All close reasons.
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

    /// The name in log lines and metrics.
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

    /// The reason with this number, as stored in an atomic; [`CloseReason::Finished`] for any other.
    pub fn from_number(number: u8) -> CloseReason {
        Self::ALL.into_iter().find(|reason| *reason as u8 == number).unwrap_or(CloseReason::Finished)
    }
}
