//! The bounds of discovery's watch, and how long a change may take to be received under them.
use super::Limits;
use std::time::Duration;
use thiserror::Error;

/// Discovery sends an empty line at this interval where it has no news.
const EMPTY_LINE_INTERVAL: Duration = Duration::from_secs(2);

/// Why the bounds of discovery's watch are inconsistent.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum WatchError {
    /// A change may be received too late.
    #[error(
        "a change would be heard {sum:?} after discovery has it, later than {told:?} less the margin of {margin:?}: shorten watch_silent, watch_retry, watch_connect or watch_answer"
    )]
    Late {
        /// The longest that it may take.
        sum: Duration,
        /// When discovery counts the change as notified.
        told: Duration,
        /// What has to be left of that time.
        margin: Duration,
    },
    /// A change may be received too late from another address.
    #[error(
        "after a move a change would be heard after {sum:?}, later than watch_former ({former:?}) less the margin of {margin:?}: shorten watch_retry, watch_connect or watch_answer"
    )]
    Moved {
        /// The longest that it may take.
        sum: Duration,
        /// How long the old address is still listened to.
        former: Duration,
        /// What has to be left of that time.
        margin: Duration,
    },
    /// Discovery sends an empty line at this interval when it has no news, which must not look like silence.
    #[error(
        "watch_silent is {silent:?}, expected more than {pause:?}, in which discovery may have nothing to say"
    )]
    Hasty {
        /// When a watch counts as silent.
        silent: Duration,
        /// The interval of discovery's empty lines.
        pause: Duration,
    },
    /// A new watch would be closed in favour of later ones before its first line can come.
    #[error(
        "a new watch would give way to others after {after:?}, before watch_connect and watch_answer ({chance:?}) are over: raise watch_most or watch_retry"
    )]
    Crowded {
        /// When it may be closed.
        after: Duration,
        /// How long its first line may take.
        chance: Duration,
    },
}

impl Limits {
    /// The longest that a new watch may take to connect and receive its first line: it is not closed in favour of others
    /// before.
    pub fn watch_chance(&self) -> Duration {
        self.watch_connect + self.watch_answer
    }

    /// The longest from discovery having a change, and answering new connections, to the endpoint list having it.
    ///
    /// A watch that fell silent is noticed after `watch_silent`. Then a connection is opened at once, or, where one was
    /// opened just before discovery answered again, after `watch_retry.1` at the latest, or `watch_answer` where that
    /// one has its response head. Whatever state that one is in (refused, not accepted, silent, a head, half a line,
    /// reset), it does not delay the next one, which connects within `watch_connect` and receives its first line, with
    /// the change, within `watch_answer`.
    pub fn worst_silence(&self) -> Duration {
        self.watch_silent + self.watch_retry.1.max(self.watch_answer) + self.watch_chance()
    }

    /// The same after a move to an address that answers: the last connection may have been opened just before.
    pub fn worst_move(&self) -> Duration {
        self.watch_retry.0 + self.watch_chance()
    }

    /// Checks that the bounds of discovery's watch are consistent: changes are received before discovery counts them as
    /// notified.
    ///
    /// # Errors
    /// A [`WatchError`] that says which bounds to change.
    pub fn check_watch(&self) -> Result<(), WatchError> {
        let (told, margin) = (self.watch_told, self.watch_margin);
        let (silence, moved, former) = (self.worst_silence(), self.worst_move(), self.watch_former);
        let chance = self.watch_chance();
        // Watches are opened at least `watch_retry.0` apart, and a newer one does not replace the oldest but the one after.
        let after = self.watch_retry.0 * self.watch_most.saturating_sub(1).min(1 << 20) as u32;
        if silence + margin > told {
            return Err(WatchError::Late { sum: silence, told, margin });
        }
        if moved + margin > former {
            return Err(WatchError::Moved { sum: moved, former, margin });
        }
        if self.watch_silent <= EMPTY_LINE_INTERVAL {
            return Err(WatchError::Hasty { silent: self.watch_silent, pause: EMPTY_LINE_INTERVAL });
        }
        if after < chance {
            return Err(WatchError::Crowded { after, chance });
        }
        Ok(())
    }
}
