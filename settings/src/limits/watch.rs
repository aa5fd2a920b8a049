//! The bounds of discovery's watch, and how long a change may take to be received under them.
use super::bounds::Limits;
use std::time::Duration;
use thiserror::Error;

/// Discovery sends an empty line at this interval where it has no change to report.
const EMPTY_LINE_INTERVAL: Duration = Duration::from_secs(2);

/// More pending watches than this count as this many, so that their time does not overflow.
const MAX_COUNTED_WATCHES: usize = 1 << 20;

/// Why the bounds of discovery's watch are inconsistent.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum WatchError {
    /// A change may be received too late.
    #[error(
        "a change would be received {delay:?} after discovery has it, later than {deadline:?} less the margin of {margin:?}: \
         shorten watch_silence_timeout, watch_backoff, watch_connect_timeout or watch_first_line_timeout"
    )]
    SilenceNoticedLate {
        /// The longest that it may take.
        delay: Duration,
        /// When discovery counts the change as notified.
        deadline: Duration,
        /// What has to be left of that time.
        margin: Duration,
    },
    /// A change may be received too late from another address.
    #[error(
        "after a move a change would be received after {delay:?}, later than watch_previous_address_duration ({overlap:?}) \
         less the margin of {margin:?}: shorten watch_backoff, watch_connect_timeout or watch_first_line_timeout"
    )]
    MoveNoticedLate {
        /// The longest that it may take.
        delay: Duration,
        /// How long the previous address is still watched.
        overlap: Duration,
        /// What has to be left of that time.
        margin: Duration,
    },
    /// Discovery sends an empty line at this interval when it has no change to report, which must not look like silence.
    #[error(
        "watch_silence_timeout is {timeout:?}, expected more than {interval:?}, in which discovery may have nothing to send"
    )]
    SilenceTimeoutTooShort {
        /// When a watch counts as silent.
        timeout: Duration,
        /// The interval of discovery's empty lines.
        interval: Duration,
    },
    /// A new watch would be closed in favour of later ones before its first line can come.
    #[error(
        "a new watch would be closed in favour of others after {evicted_after:?}, before watch_connect_timeout and \
         watch_first_line_timeout ({timeout:?}) are over: raise max_pending_watches or watch_backoff"
    )]
    PendingWatchEvictedEarly {
        /// When it may be closed.
        evicted_after: Duration,
        /// How long its first line may take.
        timeout: Duration,
    },
}

impl Limits {
    /// The longest that a new watch may take to connect and receive its first line: it is not closed in favour of others
    /// before.
    pub fn new_watch_timeout(&self) -> Duration {
        self.watch_connect_timeout + self.watch_first_line_timeout
    }

    /// The longest from discovery having a change, and answering new connections, to the endpoint list having it.
    ///
    /// A watch that fell silent is noticed after `watch_silence_timeout`. Then a connection is opened at once, or, where
    /// one was opened just before discovery answered again, after `watch_backoff.max` at the latest, or
    /// `watch_first_line_timeout` where that one has its response head. Whatever state that one is in (refused, not
    /// accepted, silent, a head, half a line, reset), it does not delay the next one, which connects within
    /// `watch_connect_timeout` and receives its first line, with the change, within `watch_first_line_timeout`.
    pub fn max_delay_after_silence(&self) -> Duration {
        let next_watch = self.watch_backoff.max.max(self.watch_first_line_timeout);
        self.watch_silence_timeout + next_watch + self.new_watch_timeout()
    }

    /// The same after a move to an address that answers: the last connection may have been opened just before.
    pub fn max_delay_after_move(&self) -> Duration {
        self.watch_backoff.min + self.new_watch_timeout()
    }

    /// Checks that the bounds of discovery's watch are consistent: changes are received before discovery counts them as
    /// notified.
    ///
    /// # Errors
    /// A [`WatchError`] that says which bounds to change.
    pub fn check_watch(&self) -> Result<(), WatchError> {
        self.check_delay_after_silence()?;
        self.check_delay_after_move()?;
        self.check_silence_timeout()?;
        self.check_pending_watches()
    }

    fn check_delay_after_silence(&self) -> Result<(), WatchError> {
        let delay = self.max_delay_after_silence();
        let (deadline, margin) = (self.watch_notification_deadline, self.watch_notification_margin);
        if delay + margin > deadline {
            return Err(WatchError::SilenceNoticedLate { delay, deadline, margin });
        }
        Ok(())
    }

    fn check_delay_after_move(&self) -> Result<(), WatchError> {
        let delay = self.max_delay_after_move();
        let (overlap, margin) = (self.watch_previous_address_duration, self.watch_notification_margin);
        if delay + margin > overlap {
            return Err(WatchError::MoveNoticedLate { delay, overlap, margin });
        }
        Ok(())
    }

    fn check_silence_timeout(&self) -> Result<(), WatchError> {
        let (timeout, interval) = (self.watch_silence_timeout, EMPTY_LINE_INTERVAL);
        if timeout <= interval {
            return Err(WatchError::SilenceTimeoutTooShort { timeout, interval });
        }
        Ok(())
    }

    fn check_pending_watches(&self) -> Result<(), WatchError> {
        // Watches are opened at least `watch_backoff.min` apart, and a newer one does not replace the oldest but the one
        // after.
        let newer = self.max_pending_watches.saturating_sub(1).min(MAX_COUNTED_WATCHES) as u32;
        let evicted_after = self.watch_backoff.min * newer;
        let timeout = self.new_watch_timeout();
        if evicted_after < timeout {
            return Err(WatchError::PendingWatchEvictedEarly { evicted_after, timeout });
        }
        Ok(())
    }
}
