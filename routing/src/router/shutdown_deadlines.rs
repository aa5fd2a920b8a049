//! Deadlines of requests while the process shuts down: each request gets its final response before the process
//! exits, and before the platform kills it.
use decision::Time;
use settings::Limits;
use std::time::Duration;

/// The latest deadlines that requests may have after a shutdown has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ShutdownDeadlines {
    /// The latest deadline of any request.
    latest: Time,
    /// Time from which an arriving request counts as late.
    late_from: Time,
    /// The latest deadline of a late request.
    latest_if_late: Time,
}

impl ShutdownDeadlines {
    pub(super) fn new(started_at: Time, limits: &Limits) -> ShutdownDeadlines {
        let after = |timeout: Duration| Time(started_at.0 + timeout.as_micros() as i64);
        ShutdownDeadlines {
            latest: after(limits.shutdown_timeout),
            late_from: after(limits.shutdown_read_timeout),
            latest_if_late: after(limits.shutdown_late_response_timeout),
        }
    }

    /// Returns the latest deadline of any request.
    pub(super) fn latest(&self) -> Time {
        self.latest
    }

    /// Returns the deadline of a request that arrives at `now` with the given deadline.
    pub(super) fn limit(&self, now: Time, deadline: Time) -> Time {
        let latest = if now >= self.late_from { self.latest.min(self.latest_if_late) } else { self.latest };
        deadline.min(latest)
    }
}
