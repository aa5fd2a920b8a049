//! Consistency checks for the limits of the discovery watch, and the longest delay of a change that follows
//! from them.
use super::bounds::Limits;
use std::time::Duration;
use thiserror::Error;

/// Interval at which discovery sends an empty line while it has no change to report.
const EMPTY_LINE_INTERVAL: Duration = Duration::from_secs(2);

/// Upper limit for the number of pending watches in computations, so that durations do not overflow.
const MAX_COUNTED_WATCHES: usize = 1 << 20;

/// Contradictions between the limits of the discovery watch.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum WatchError {
    /// A change may be received too late after a watch fell silent.
    #[error(
        "a change would be received up to {delay:?} after discovery has it, later than {deadline:?} less the \
         margin of {margin:?}: shorten watch_silence_timeout, watch_backoff, watch_connect_timeout or \
         watch_first_line_timeout"
    )]
    SilenceDetectedLate {
        /// The longest time until the change is received.
        delay: Duration,
        /// The time after which discovery counts the change as notified.
        deadline: Duration,
        /// The minimum time between the receipt of the change and `deadline`.
        margin: Duration,
    },
    /// A change may be received too late after the address of discovery changed.
    #[error(
        "after the address of discovery changed, a change would be received after up to {delay:?}, later \
         than watch_previous_address_duration ({overlap:?}) less the margin of {margin:?}: shorten \
         watch_backoff, watch_connect_timeout or watch_first_line_timeout"
    )]
    MoveDetectedLate {
        /// The longest time until the change is received.
        delay: Duration,
        /// How long the previous address is watched in parallel.
        overlap: Duration,
        /// The minimum time between the receipt of the change and the end of `overlap`.
        margin: Duration,
    },
    /// A watch would count as silent before discovery sends its next empty line.
    #[error(
        "watch_silence_timeout is {timeout:?}, expected more than {interval:?}, the interval \
         of discovery's empty lines"
    )]
    SilenceTimeoutTooShort {
        /// The time without a line after which a watch counts as silent.
        timeout: Duration,
        /// The interval of discovery's empty lines.
        interval: Duration,
    },
    /// A new watch may be closed in favour of newer ones before its first line was due.
    #[error(
        "a new watch could be closed in favour of others after {evicted_after:?}, before \
         watch_connect_timeout and watch_first_line_timeout ({timeout:?}) have expired: raise \
         max_pending_watches or watch_backoff"
    )]
    PendingWatchEvictedEarly {
        /// The time after which a new watch may be closed.
        evicted_after: Duration,
        /// The longest time that a new watch may take to receive its first line.
        timeout: Duration,
    },
}

impl Limits {
    /// Returns the longest time that a new watch may take to connect and receive its first line. The
    /// watch is not closed in favour of newer ones before this time has passed.
    pub fn new_watch_timeout(&self) -> Duration {
        self.watch_connect_timeout + self.watch_first_line_timeout
    }

    /// Returns the longest delay, after the current watch fell silent, from the moment that discovery has a
    /// change and responds to new connections until the endpoint list has the change.
    ///
    /// A silent watch is detected after `watch_silence_timeout`. Then a new connection is opened at once. If
    /// one was opened just before discovery became responsive, the next one follows after at most
    /// `watch_backoff.max`, or after `watch_first_line_timeout` if the earlier one has received its response
    /// head. The state of the earlier connection (refused, not accepted, silent, response head received,
    /// partial line received, reset) does not delay the next one, which connects within
    /// `watch_connect_timeout` and receives its first line, with the change, within
    /// `watch_first_line_timeout`.
    pub fn max_delay_after_silence(&self) -> Duration {
        let next_watch = self.watch_backoff.max.max(self.watch_first_line_timeout);
        self.watch_silence_timeout + next_watch + self.new_watch_timeout()
    }

    /// Returns the longest delay of a change after discovery moved to a responsive address. The last
    /// connection may have been opened just before discovery became responsive there.
    pub fn max_delay_after_move(&self) -> Duration {
        self.watch_backoff.min + self.new_watch_timeout()
    }

    /// Checks that the limits of the discovery watch are consistent, so that changes are received before
    /// discovery counts them as notified.
    ///
    /// # Errors
    /// A [`WatchError`] that names the limits to change.
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
            return Err(WatchError::SilenceDetectedLate { delay, deadline, margin });
        }
        Ok(())
    }

    fn check_delay_after_move(&self) -> Result<(), WatchError> {
        let delay = self.max_delay_after_move();
        let (overlap, margin) = (self.watch_previous_address_duration, self.watch_notification_margin);
        if delay + margin > overlap {
            return Err(WatchError::MoveDetectedLate { delay, overlap, margin });
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
        // Watches are opened at least `watch_backoff.min` apart. When the limit is reached, a newer watch
        // replaces the second oldest, not the oldest.
        let newer = self.max_pending_watches.saturating_sub(1).min(MAX_COUNTED_WATCHES) as u32;
        let evicted_after = self.watch_backoff.min * newer;
        let timeout = self.new_watch_timeout();
        if evicted_after < timeout {
            return Err(WatchError::PendingWatchEvictedEarly { evicted_after, timeout });
        }
        Ok(())
    }
}
