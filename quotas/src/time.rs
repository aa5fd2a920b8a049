//! Arithmetic on times that saturates instead of overflowing.
use decision::{Micros, Time};

/// A time before any that a clock shows.
pub(crate) const DISTANT_PAST: Time = Time(i64::MIN);

/// The time `duration` after `start`.
pub(crate) fn after(start: Time, duration: Micros) -> Time {
    Time(start.0.saturating_add(duration))
}

/// Microseconds from `start` to `end`.
pub(crate) fn elapsed(start: Time, end: Time) -> Micros {
    end.0.saturating_sub(start.0)
}
