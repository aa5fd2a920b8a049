//! Tracks the commands in flight on a client connection, and whether the connection may be closed. The count
//! and the closed flag share one atomic word, so a command is accepted either before the connection closes or
//! not at all. A rejected command can therefore be retried elsewhere safely, and a concurrent close never
//! discards the response of an accepted command.
use super::denial::{Denial, Verdict};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};

/// Flag that is set when no more commands are accepted. The other bits are the count.
const CLOSED: usize = 1 << (usize::BITS - 1);

/// Counts the commands in flight on one connection, which are those that were read but have no response yet.
#[derive(Debug, Default)]
pub struct CommandGate {
    word: AtomicUsize,
}

impl CommandGate {
    /// Permits and counts one more command.
    ///
    /// # Errors
    /// Returns [`Denial::ConnectionClosed`] if no more commands are accepted.
    pub fn permit_command(&self) -> Verdict {
        let incremented = |word: usize| (word & CLOSED == 0).then_some(word + 1);
        self.word.fetch_update(SeqCst, SeqCst, incremented).map(|_| ()).map_err(|_| Denial::ConnectionClosed)
    }

    /// Records that an accepted command has its response or needs none. Returns `true` if it was the last
    /// command and no more are accepted.
    #[must_use]
    pub fn finish(&self) -> bool {
        self.word.fetch_sub(1, SeqCst) == CLOSED | 1
    }

    /// Closes a connection that has no commands in flight. No more commands are accepted afterwards.
    ///
    /// # Errors
    /// [`Denial::CommandsInFlight`], or [`Denial::ConnectionClosed`] if the connection was already closed.
    pub fn permit_idle_close(&self) -> Verdict {
        self.close_from(0)
    }

    /// Closes the connection to further commands if exactly one command is in flight. The response to that
    /// command is the last one on the connection.
    ///
    /// # Errors
    /// [`Denial::CommandsInFlight`] unless exactly one command is in flight, or [`Denial::ConnectionClosed`]
    /// if the connection was already closed.
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

    /// Stops accepting commands. Commands in flight still get their responses.
    pub fn close(&self) {
        self.word.fetch_or(CLOSED, SeqCst);
    }

    /// Returns the number of commands in flight.
    pub fn count(&self) -> usize {
        self.word.load(SeqCst) & !CLOSED
    }

    /// Returns whether the connection no longer accepts commands.
    pub fn is_closed(&self) -> bool {
        self.word.load(SeqCst) & CLOSED != 0
    }
}
