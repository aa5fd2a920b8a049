//! The number of commands of one connection that were read and have no response yet. Count and closed mark share one
//! atomic word: a command is either accepted before the connection closes to it, or never. So none is carried out
//! whose client retries it elsewhere, and none that was accepted loses its response to a close in between.
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};

/// Set once no more commands are accepted; the other bits are the count.
const CLOSED: usize = 1 << (usize::BITS - 1);

/// Counts the commands in flight on one connection.
#[derive(Debug, Default)]
pub struct InFlightCommands {
    word: AtomicUsize,
}

impl InFlightCommands {
    /// Accepts one more command; `false` once closed.
    #[must_use]
    pub fn try_begin(&self) -> bool {
        let one_more = |word: usize| (word & CLOSED == 0).then_some(word + 1);
        self.word.fetch_update(SeqCst, SeqCst, one_more).is_ok()
    }

    /// An accepted command has its response, or needs none; `true` if it was the last one and no more are accepted.
    #[must_use]
    pub fn finish(&self) -> bool {
        self.word.fetch_sub(1, SeqCst) == CLOSED | 1
    }

    /// Closes if nothing is in flight; `false` otherwise, and if it was closed before.
    #[must_use]
    pub fn close_if_idle(&self) -> bool {
        self.word.compare_exchange(0, CLOSED, SeqCst, SeqCst).is_ok()
    }

    /// Closes if exactly one command is in flight, whose response is then the last; `false` otherwise, and if it was
    /// closed before.
    #[must_use]
    pub fn close_if_last(&self) -> bool {
        self.word.compare_exchange(1, CLOSED | 1, SeqCst, SeqCst).is_ok()
    }

    /// Closes, whatever is in flight.
    pub fn close(&self) {
        self.word.fetch_or(CLOSED, SeqCst);
    }

    /// How many commands are in flight.
    pub fn count(&self) -> usize {
        self.word.load(SeqCst) & !CLOSED
    }

    /// Whether no more commands are accepted.
    pub fn is_closed(&self) -> bool {
        self.word.load(SeqCst) & CLOSED != 0
    }
}
