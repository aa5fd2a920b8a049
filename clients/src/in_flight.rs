//! The commands of one connection that were read and are not answered yet. A count and a mark in one word: a command is
//! either taken before the connection is closed to it, or never, so that none is carried out whose client is told to
//! ask elsewhere, and none that was taken loses its answer to an end that came between.
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};

/// Set once no more commands are taken.
const CLOSED: usize = 1 << (usize::BITS - 1);

/// Commands in flight on one connection.
#[derive(Debug, Default)]
pub struct InFlight(AtomicUsize);

impl InFlight {
    /// Takes one more; `false` once it is closed.
    #[must_use]
    pub fn begin(&self) -> bool {
        let more = |n: usize| (n & CLOSED == 0).then_some(n + 1);
        self.0.fetch_update(SeqCst, SeqCst, more).is_ok()
    }

    /// One that was taken is answered, or needs no answer; `true` where it was the last one and no more are taken.
    #[must_use]
    pub fn finish(&self) -> bool {
        self.0.fetch_sub(1, SeqCst) == CLOSED | 1
    }

    /// Takes no more from now on, if none is in flight and this was not said before.
    #[must_use]
    pub fn close_if_idle(&self) -> bool {
        self.0.compare_exchange(0, CLOSED, SeqCst, SeqCst).is_ok()
    }

    /// Takes no more from now on, if exactly one is in flight and this was not said before: its answer is the last.
    #[must_use]
    pub fn close_if_last(&self) -> bool {
        self.0.compare_exchange(1, CLOSED | 1, SeqCst, SeqCst).is_ok()
    }

    /// Takes no more from now on, whatever is in flight.
    pub fn close(&self) {
        self.0.fetch_or(CLOSED, SeqCst);
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.0.load(SeqCst) & !CLOSED
    }

    /// Whether no more are taken.
    pub fn is_closed(&self) -> bool {
        self.0.load(SeqCst) & CLOSED != 0
    }
}
