//! Whether a client's connection takes one more command, and whether it may close. Count and closed mark share one
//! atomic word: a command is either accepted before the connection closes to it, or never. So none is carried out
//! whose client retries it elsewhere, and none that was accepted loses its response to a close in between.
use super::denial::{Denial, Verdict};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};

/// Set once no more commands are accepted; the other bits are the count.
const CLOSED: usize = 1 << (usize::BITS - 1);

/// Counts the commands in flight on one connection: those that were read and have no response yet.
#[derive(Debug, Default)]
pub struct CommandGate {
    word: AtomicUsize,
}

impl CommandGate {
    /// Permits one more command.
    ///
    /// # Errors
    /// [`Denial::ConnectionClosed`].
    pub fn permit_command(&self) -> Verdict {
        let one_more = |word: usize| (word & CLOSED == 0).then_some(word + 1);
        self.word.fetch_update(SeqCst, SeqCst, one_more).map(|_| ()).map_err(|_| Denial::ConnectionClosed)
    }

    /// An accepted command has its response, or needs none; `true` if it was the last one and no more are accepted.
    #[must_use]
    pub fn finish(&self) -> bool {
        self.word.fetch_sub(1, SeqCst) == CLOSED | 1
    }

    /// Permits to close a connection on which nothing is in flight; it takes no more commands then.
    ///
    /// # Errors
    /// [`Denial::CommandsInFlight`], and [`Denial::ConnectionClosed`] if it was closed before.
    pub fn permit_idle_close(&self) -> Verdict {
        self.close_from(0)
    }

    /// Permits to close behind the response of the only command in flight, which is then the connection's last.
    ///
    /// # Errors
    /// [`Denial::CommandsInFlight`] if it is not exactly one, and [`Denial::ConnectionClosed`] if it was closed before.
    pub fn permit_last_response(&self) -> Verdict {
        self.close_from(1)
    }

    fn close_from(&self, in_flight: usize) -> Verdict {
        match self.word.compare_exchange(in_flight, CLOSED | in_flight, SeqCst, SeqCst) {
            Ok(_) => Ok(()),
            Err(word) if word & CLOSED != 0 => Err(Denial::ConnectionClosed),
            Err(_) => Err(Denial::CommandsInFlight),
        }
    }

    /// Closes, whatever is in flight: what was accepted still gets its response.
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
