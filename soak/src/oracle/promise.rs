//! The promises that oracles watch, and their breaches.
use std::fmt::{self, Display, Formatter};

/// A promise of `docs/promises.md` that an oracle watches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Promise {
    /// A request that was accepted gets its final answer.
    Lost,
    /// It gets it in time.
    Late,
    /// Answers are the server's own, one for each request, in order.
    ForeignAnswer,
    /// Nothing begins for a client that has disconnected or cancelled.
    SentAfterDisconnect,
    /// What must not run twice does not.
    RanTwice,
    /// A repeat stays within its window.
    RanOutsideWindow,
    /// A rejected request has not run.
    RejectedButRan,
    /// A server gets no longer timeout than the client has left.
    TimeoutTooLong,
    /// A withdrawn server gets nothing new.
    Drain,
    /// A cold server is not overloaded.
    SlowStart,
    /// No read is older than its class allows.
    Stale,
    /// A client that stalls is disconnected.
    StalledClientNotClosed,
    /// A process does not end by itself.
    Crash,
    /// A process is ready in time.
    Start,
    /// Descriptors, threads and memory stay bounded.
    Limits,
    /// No process spins.
    Cpu,
    /// The program's own count of violated invariants is 0.
    Invariant,
    /// A session's read sees its writes (`serve`).
    SessionStale,
    /// A confirmed change of the store lasts (`serve`).
    StoreLost,
}

impl Promise {
    /// Its name in reports and in `docs/promises.md`.
    pub fn name(self) -> &'static str {
        match self {
            Promise::Lost => "lost",
            Promise::Late => "late",
            Promise::ForeignAnswer => "foreign_answer",
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

/// One broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// Which promise.
    pub promise: Promise,
    /// What happened, with ids and times in seconds.
    pub text: String,
}

impl Breach {
    /// A breach of a promise.
    pub fn new(promise: Promise, text: impl Into<String>) -> Breach {
        Breach { promise, text: text.into() }
    }
}

impl Display for Breach {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.promise.name(), self.text)
    }
}
