//! Whether a client's connection accepts one more command, and whether it may close. The count of commands and the closed
//! flag share one atomic word: a command is accepted before the connection closes, or never. So no command runs that its
//! client retries elsewhere, and no accepted command loses its response to a concurrent close.
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

    /// Records that an accepted command has its response, or needs none. Returns `true` if it was the last one and no
    /// more are accepted.
    #[must_use]
    pub fn finish(&self) -> bool {
        self.word.fetch_sub(1, SeqCst) == CLOSED | 1
    }

    /// Permits to close a connection without commands in flight, which accepts no more from then on.
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

    /// Closes the connection to new commands; those in flight still get their responses.
    pub fn close(&self) {
        self.word.fetch_or(CLOSED, SeqCst);
    }

    /// The number of commands in flight.
    pub fn count(&self) -> usize {
        self.word.load(SeqCst) & !CLOSED
    }

    /// Whether no more commands are accepted.
    pub fn is_closed(&self) -> bool {
        self.word.load(SeqCst) & CLOSED != 0
    }
}
