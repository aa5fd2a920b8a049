//! The router's clock: Unix time that never runs backwards.
use decision::Time;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Maximum offset from the clock's start that [`Clock::instant_at`] can represent. Later times are clamped to
/// it.
const MAX_DISTANCE: Duration = Duration::from_hours(365 * 24);

/// Unix time read once at the start and continued by the monotonic clock. A step of the system clock
/// therefore neither fires nor delays timers.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix_at_start: Duration,
}

impl Clock {
    /// Creates a clock that starts at the current system time.
    pub fn new() -> Self {
        let unix_at_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix_at_start }
    }

    /// Creates a clock that starts at the current system time plus `offset_micros` microseconds.
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

    /// Returns the current time of this clock.
    pub fn now(&self) -> Time {
        self.time_at(Instant::now())
    }

    /// Returns the current system time as Unix time in microseconds. Unlike [`Clock::now`], it may be
    /// stepped.
    pub fn wall_now() -> Time {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Time(unix.as_micros() as i64)
    }

    /// Converts an [`Instant`] to Unix time in microseconds.
    pub fn time_at(&self, instant: Instant) -> Time {
        let since_start = instant.saturating_duration_since(self.start);
        Time((self.unix_at_start + since_start).as_micros() as i64)
    }

    /// Converts a Unix time to an [`Instant`]. Times before the clock's start are clamped to the start.
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
