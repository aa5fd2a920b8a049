//! The promises that the oracles check, and their breaches.
use std::fmt::{self, Display, Formatter};

/// A promise of `docs/promises.md` that an oracle checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Promise {
    /// Every accepted request gets a final response.
    Lost,
    /// The final response arrives in time.
    Late,
    /// Each request gets exactly one response, in order, and never the response to another request.
    MismatchedResponse,
    /// No attempt starts after the client has disconnected or cancelled the request.
    SentAfterDisconnect,
    /// A request that must not run twice runs at most once.
    RanTwice,
    /// A repeated keyed write runs within the group's deduplication window.
    RanOutsideWindow,
    /// A rejected request has not run.
    RejectedButRan,
    /// The timeout sent to a server does not exceed the client's remaining time.
    TimeoutTooLong,
    /// A server that drains or is in maintenance receives no new requests.
    Drain,
    /// A server that is warming up is not overloaded.
    SlowStart,
    /// No read returns data older than its class allows.
    Stale,
    /// The router disconnects a client that stalls.
    StalledClientNotClosed,
    /// A router process does not crash.
    Crash,
    /// A router process is ready in time.
    Start,
    /// A router's descriptors, threads and memory stay within their limits.
    Limits,
    /// No router process busy-loops.
    Cpu,
    /// The router's own counters of violated invariants are 0.
    Invariant,
    /// A read in a session sees the session's confirmed writes (`serve`).
    SessionStale,
    /// A confirmed change of the store is not lost, and the store accepts changes again after faults
    /// (`serve`).
    StoreLost,
}

impl Promise {
    /// The promise's name in reports and in `docs/promises.md`.
    pub fn name(self) -> &'static str {
        match self {
            Promise::Lost => "lost",
            Promise::Late => "late",
            Promise::MismatchedResponse => "foreign_answer",
            Promise::SentAfterDisconnect => "sent_after_leaving",
            Promise::RanTwice => "ran_twice",
            Promise::RanOutsideWindow => "ran_outside_window",
            Promise::RejectedButRan => "refused_but_ran",
            Promise::TimeoutTooLong => "told_too_long",
            Promise::Drain => "drain",
            Promise::SlowStart => "slow_start",
            Promise::Stale => "stale",
            Promise::StalledClientNotClosed => "bad_client_held",
            Promise::Crash => "crash",
            Promise::Start => "start",
            Promise::Limits => "limits",
            Promise::Cpu => "cpu",
            Promise::Invariant => "invariant",
            Promise::SessionStale => "session_stale",
            Promise::StoreLost => "store_lost",
        }
    }
}

/// A breach of a promise in a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// The promise that was broken.
    pub promise: Promise,
    /// What happened, with ids and times in seconds.
    pub text: String,
}

impl Breach {
    /// Creates a breach of a promise.
    pub fn new(promise: Promise, text: impl Into<String>) -> Breach {
        Breach { promise, text: text.into() }
    }
}

impl Display for Breach {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.promise.name(), self.text)
    }
}
