//! The oracles: each reads the history and names what broke one promise, with ids and times.
mod limits;
mod members;
mod requests;
mod serve;

use crate::history::{Absence, History, Micros, SECOND};
use std::collections::BTreeSet;
use std::fmt::{self, Display, Formatter};

/// What the machine's scheduling may add to any time.
pub const SLACK: Micros = 200_000;

/// A promise of `docs/design/promises.md` that an oracle watches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Promise {
    /// A request that was taken gets its final answer.
    Lost,
    /// It gets it in time.
    Late,
    /// Answers are the server's own, one for each request, in order.
    ForeignAnswer,
    /// Nothing begins for a client that has left or cancelled.
    SentAfterLeaving,
    /// What must not run twice does not.
    RanTwice,
    /// A repeat stays within its window.
    RanOutsideWindow,
    /// A refused request has not run.
    RefusedButRan,
    /// A server is told no more time than is left.
    ToldTooLong,
    /// A withdrawn server gets nothing new.
    Drain,
    /// A cold server is not overloaded.
    SlowStart,
    /// No read is older than its class allows.
    Stale,
    /// A client that stalls is ended.
    BadClientHeld,
    /// A process does not end by itself.
    Crash,
    /// A process is ready in time.
    Start,
    /// Descriptors, threads and memory stay bounded.
    Limits,
    /// No process spins.
    Cpu,
    /// The program's own count of violated invariants.
    Invariant,
    /// A session's read sees its writes (`serve`).
    SessionStale,
    /// A confirmed change of the store is kept (`serve`).
    StoreLost,
}

impl Promise {
    /// Its name in reports and in `docs/design/promises.md`.
    pub fn name(self) -> &'static str {
        match self {
            Promise::Lost => "lost",
            Promise::Late => "late",
            Promise::ForeignAnswer => "foreign_answer",
            Promise::SentAfterLeaving => "sent_after_leaving",
            Promise::RanTwice => "ran_twice",
            Promise::RanOutsideWindow => "ran_outside_window",
            Promise::RefusedButRan => "refused_but_ran",
            Promise::ToldTooLong => "told_too_long",
            Promise::Drain => "drain",
            Promise::SlowStart => "slow_start",
            Promise::Stale => "stale",
            Promise::BadClientHeld => "bad_client_held",
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

impl Display for Breach {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.promise.name(), self.text)
    }
}

/// Everything that the history breaks.
pub fn check(history: &History) -> Vec<Breach> {
    let mut breaches = requests::check(history);
    breaches.extend(members::check(history));
    breaches.extend(limits::check(history));
    breaches.extend(serve::check(history));
    breaches
}

/// Which promises were broken.
pub fn promises(breaches: &[Breach]) -> BTreeSet<Promise> {
    breaches.iter().map(|breach| breach.promise).collect()
}

/// Seconds, for texts.
fn seconds(at: Micros) -> String {
    format!("{:.3} s", at as f64 / SECOND as f64)
}

/// Whether a router was absent for one of these reasons at some moment of a span.
fn was_absent(history: &History, router: usize, why: &[Absence], from: Micros, to: Micros) -> bool {
    let of_router = history.absent.iter().filter(|a| a.router == router && why.contains(&a.why));
    of_router.into_iter().any(|a| a.from <= to && from <= a.to)
}

/// For how long a router was stopped within a span.
fn paused(history: &History, router: usize, from: Micros, to: Micros) -> Micros {
    let pauses = history.absent.iter().filter(|a| a.router == router && a.why == Absence::Paused);
    pauses.map(|a| (a.to.min(to) - a.from.max(from)).max(0)).sum()
}
