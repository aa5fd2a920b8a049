//! The router's clock: Unix time that never goes back.
use decision::Time;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time as it was at the start, carried on by the monotonic clock: a step of the system's clock must not
/// fire or delay every timer at once.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix: Duration,
}

impl Clock {
    /// A clock set by the system's.
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix }
    }

    /// A clock set by the system's and put on by this many microseconds (back, where negative).
    pub fn shifted(micros: i64) -> Self {
        let mut clock = Clock::new();
        let by = Duration::from_micros(micros.unsigned_abs());
        clock.unix = if micros < 0 { clock.unix.saturating_sub(by) } else { clock.unix + by };
        clock
    }

    /// The present.
    pub fn now(&self) -> Time {
        self.at(Instant::now())
    }

    /// A moment of the monotonic clock as Unix time in microseconds.
    pub fn at(&self, t: Instant) -> Time {
        Time((self.unix + t.saturating_duration_since(self.start)).as_micros() as i64)
    }

    /// The moment of the monotonic clock at which this time comes.
    pub fn instant(&self, t: Time) -> Instant {
        let since = t.0.saturating_sub(self.unix.as_micros() as i64).max(0) as u64;
        // A time beyond what the clock can hold is as good as never.
        let far = Duration::from_secs(86_400 * 365);
        self.start + Duration::from_micros(since).min(far)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
