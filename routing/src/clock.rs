//! The router's clock: Unix time that never goes backwards.
use decision::Time;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The longest distance into the future that [`Clock::instant_at`] represents; later times are cut to it.
const MAX_DISTANCE: Duration = Duration::from_hours(365 * 24);

/// Unix time as it was at the start, continued by the monotonic clock, so that a step of the system's clock neither fires
/// nor delays timers.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix_at_start: Duration,
}

impl Clock {
    /// A clock that starts with the system's time.
    pub fn new() -> Self {
        let unix_at_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix_at_start }
    }

    /// A clock that starts with the system's time plus `offset_micros` microseconds.
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

    /// The system's wall clock as Unix time in microseconds; it may be stepped at any time.
    pub fn wall_now() -> Time {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Time(unix.as_micros() as i64)
    }

    /// A moment of the monotonic clock as Unix time in microseconds.
    pub fn time_at(&self, instant: Instant) -> Time {
        let since_start = instant.saturating_duration_since(self.start);
        Time((self.unix_at_start + since_start).as_micros() as i64)
    }

    /// `time` as a moment of the monotonic clock; the clock's start for a time before that.
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
