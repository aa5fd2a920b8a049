//! The invariants that the observer checks, and the report of a violation.
use decision::RequestId;

/// An invariant that is checked at run time. The names are a closed set that is used in the log and in the
/// counter `damsonvale_invariant_violations_total`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Invariant {
    /// A request ends exactly once.
    OneFinalResponse,
    /// The final response is sent no later than 0.5 s after the deadline.
    ResponseInTime,
    /// No request is still open 1 s after its deadline.
    RequestForgotten,
    /// No attempt starts more than 0.1 s after its request has ended.
    StartAfterEnd,
    /// A request that is not idempotent is not sent again after an attempt that may have run.
    UnsafeRepeat,
    /// A retry starts within the deduplication window of its class.
    RepeatWindow,
    /// At most one attempt of a request is in flight if hedging is not allowed.
    OneAttemptInFlight,
    /// A rejected request has not run, unless running it again is harmless.
    HarmlessRejection,
    /// No attempt starts at an endpoint later than the drain grace period after the endpoint went out of
    /// service.
    Drain,
    /// The deadline sent to a server is at most 0.15 s later than the client's deadline.
    ServerDeadline,
}

impl Invariant {
    /// All invariants that the observer checks.
    pub const ALL: [Invariant; 10] = [
        Invariant::OneFinalResponse,
        Invariant::ResponseInTime,
        Invariant::RequestForgotten,
        Invariant::StartAfterEnd,
        Invariant::UnsafeRepeat,
        Invariant::RepeatWindow,
        Invariant::OneAttemptInFlight,
        Invariant::HarmlessRejection,
        Invariant::Drain,
        Invariant::ServerDeadline,
    ];

    /// Returns the name that is used in the log and in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Invariant::OneFinalResponse => "one_final_response",
            Invariant::ResponseInTime => "response_in_time",
            Invariant::RequestForgotten => "request_forgotten",
            Invariant::StartAfterEnd => "start_after_end",
            Invariant::UnsafeRepeat => "unsafe_repeat",
            Invariant::RepeatWindow => "repeat_window",
            Invariant::OneAttemptInFlight => "one_attempt_in_flight",
            Invariant::HarmlessRejection => "harmless_rejection",
            Invariant::Drain => "drain",
            Invariant::ServerDeadline => "told_time",
        }
    }

    /// Returns whether the invariant may be violated without a bug in the router, because the process was
    /// suspended or got no CPU time.
    pub fn depends_on_scheduling(self) -> bool {
        matches!(self, Invariant::ResponseInTime | Invariant::RequestForgotten | Invariant::RepeatWindow)
    }
}

/// A violation of an invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Invariant that was violated.
    pub invariant: Invariant,
    /// ID of the request that violated the invariant.
    pub request: RequestId,
    /// Number of the attempt, if the violation concerns a particular attempt.
    pub attempt: Option<u32>,
}
