//! The invariants, and what is reported where one is violated.
use decision::RequestId;

/// A promise that is checked at run time. The names are a closed set, which the log and the counter
/// `damsonvale_invariant_violations_total` use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Invariant {
    /// A request ends once.
    OneFinalResponse,
    /// The final response is given by the deadline, with half a second of slack.
    ResponseInTime,
    /// No request stays open for a second after its deadline.
    RequestForgotten,
    /// No attempt begins 0.1 s or more after its request has ended.
    StartAfterEnd,
    /// A request that must not run twice is not sent again once it may have run.
    UnsafeRepeat,
    /// A retry begins within the deduplication window of its class.
    RepeatWindow,
    /// One attempt of a request is in flight at a time, where no two may be.
    OneAttemptInFlight,
    /// A rejected request has not run, unless running it again does no harm.
    HarmlessRejection,
    /// No attempt begins at an endpoint later than the grace period after it left service.
    Drain,
    /// A server gets no later deadline than the client's, with 0.15 s of slack.
    ServerDeadline,
}

impl Invariant {
    /// All invariants.
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

    /// The name in the log and in metrics.
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

    /// Whether a process that was stopped for a while, or got no processor time, may violate it without a fault in the
    /// program.
    pub fn depends_on_scheduling(self) -> bool {
        matches!(self, Invariant::ResponseInTime | Invariant::RequestForgotten | Invariant::RepeatWindow)
    }
}

/// An invariant that was violated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The invariant.
    pub invariant: Invariant,
    /// The request.
    pub request: RequestId,
    /// The attempt, where it concerns one.
    pub attempt: Option<u32>,
}
