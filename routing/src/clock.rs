//! The router's clock: Unix time that never goes backwards.
use decision::Time;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Longest distance into the future that [`Clock::instant_at`] represents; a later time is as good as never.
const MAX_DISTANCE: Duration = Duration::from_secs(86_400 * 365);

/// Unix time as it was at the start, continued by the monotonic clock: a step of the system's clock must not fire or
/// delay every timer at once.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix_at_start: Duration,
}

impl Clock {
    /// A clock set by the system's.
    pub fn new() -> Self {
        let unix_at_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix_at_start }
    }

    /// A clock set by the system's and moved by `offset_micros` microseconds (backwards if negative).
    pub fn with_offset(offset_micros: i64) -> Self {
        let mut clock = Clock::new();
        let distance = Duration::from_micros(offset_micros.unsigned_abs());
        clock.unix_at_start = if offset_micros < 0 {
            clock.unix_at_start.saturating_sub(distance)
        } else {
            clock.unix_at_start + distance
        };
        clock
    }

    /// The current time.
    pub fn now(&self) -> Time {
        self.time_at(Instant::now())
    }

    /// What the system's wall clock shows now, as Unix time in microseconds. It may be stepped at any time.
    pub fn wall_now() -> Time {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Time(unix.as_micros() as i64)
    }

    /// A moment of the monotonic clock as Unix time in microseconds.
    pub fn time_at(&self, instant: Instant) -> Time {
        let since_start = instant.saturating_duration_since(self.start);
        Time((self.unix_at_start + since_start).as_micros() as i64)
    }

    /// The moment of the monotonic clock at which `time` comes; the clock's start for a time before that.
    pub fn instant_at(&self, time: Time) -> Instant {
        let since_start = time.0.saturating_sub(self.unix_at_start.as_micros() as i64).max(0) as u64;
        self.start + Duration::from_micros(since_start).min(MAX_DISTANCE)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
