//! The reasons of denied permits.

/// The reason for which something may not be done now. The names are a closed set, which log lines and the counter
/// `damsonvale_denied_total` use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Denial {
    /// The client has disconnected.
    ClientDisconnected,
    /// The client has cancelled the request.
    ClientCancelled,
    /// The request has its final response.
    AlreadyAnswered,
    /// The router has stopped waiting for the attempt.
    AttemptTimedOut,
    /// The decisions have cancelled the attempt.
    AttemptCancelled,
    /// The latest start of the attempt has passed.
    StartTooLate,
    /// The endpoint is draining, in maintenance, or not listed any more.
    EndpointOutOfService,
    /// The router has removed the endpoint, or it is listed under another address.
    EndpointRemoved,
    /// The tenant's placement rules do not allow this endpoint any more.
    PlacementChanged,
    /// An earlier attempt may have run, and the request must not run twice.
    UnsafeRepeat,
    /// An earlier attempt may have run, and the deduplication window of the class is over.
    RepeatWindowOver,
    /// An earlier attempt is still in flight, and hedging is not allowed.
    AttemptInFlight,
    /// The connection accepts no more commands.
    ConnectionClosed,
    /// Commands are in flight on the connection.
    CommandsInFlight,
}

/// A permit, or the reason of its denial.
pub type Verdict<T = ()> = Result<T, Denial>;

impl Denial {
    /// All denials.
    pub const ALL: [Denial; 14] = [
        Denial::ClientDisconnected,
        Denial::ClientCancelled,
        Denial::AlreadyAnswered,
        Denial::AttemptTimedOut,
        Denial::AttemptCancelled,
        Denial::StartTooLate,
        Denial::EndpointOutOfService,
        Denial::EndpointRemoved,
        Denial::PlacementChanged,
        Denial::UnsafeRepeat,
        Denial::RepeatWindowOver,
        Denial::AttemptInFlight,
        Denial::ConnectionClosed,
        Denial::CommandsInFlight,
    ];

    /// The name in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Denial::ClientDisconnected => "client_left",
            Denial::ClientCancelled => "client_cancelled",
            Denial::AlreadyAnswered => "already_answered",
            Denial::AttemptTimedOut => "attempt_timed_out",
            Denial::AttemptCancelled => "attempt_cancelled",
            Denial::StartTooLate => "start_too_late",
            Denial::EndpointOutOfService => "endpoint_out_of_service",
            Denial::EndpointRemoved => "endpoint_removed",
            Denial::PlacementChanged => "placement_changed",
            Denial::UnsafeRepeat => "unsafe_repeat",
            Denial::RepeatWindowOver => "repeat_window_over",
            Denial::AttemptInFlight => "attempt_in_flight",
            Denial::ConnectionClosed => "connection_closed",
            Denial::CommandsInFlight => "commands_in_flight",
        }
    }
}
