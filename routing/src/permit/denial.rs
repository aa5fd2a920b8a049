//! Reasons for which a permit is denied.

/// Reason for which a permit is denied. The names are a closed set that is used in log lines and in the
/// counter `damsonvale_denied_total`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Denial {
    /// The client of the request has disconnected.
    ClientDisconnected,
    /// The client has cancelled the request.
    ClientCancelled,
    /// The request already has its final response.
    AlreadyResponded,
    /// The attempt has timed out.
    AttemptTimedOut,
    /// The decision state machine has cancelled the attempt.
    AttemptCancelled,
    /// The latest allowed start time of the attempt has passed.
    StartTooLate,
    /// The endpoint is draining, in maintenance, or no longer listed.
    EndpointOutOfService,
    /// The endpoint was removed from the router or is now listed with another address.
    EndpointRemoved,
    /// The tenant's placement rules no longer allow this endpoint.
    PlacementChanged,
    /// An earlier attempt may have run, and the request is not idempotent.
    UnsafeRepeat,
    /// An earlier attempt may have run, and the deduplication window of the class has expired.
    RepeatWindowOver,
    /// Another attempt is in flight, and hedging is not allowed.
    AttemptInFlight,
    /// The client connection accepts no more commands.
    ConnectionClosed,
    /// The client connection has commands in flight.
    CommandsInFlight,
}

/// A permit, or the reason for which it was denied.
pub type Verdict<T = ()> = Result<T, Denial>;

impl Denial {
    /// All reasons for which a permit is denied.
    pub const ALL: [Denial; 14] = [
        Denial::ClientDisconnected,
        Denial::ClientCancelled,
        Denial::AlreadyResponded,
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

    /// Returns the name that is used in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Denial::ClientDisconnected => "client_left",
            Denial::ClientCancelled => "client_cancelled",
            Denial::AlreadyResponded => "already_answered",
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
