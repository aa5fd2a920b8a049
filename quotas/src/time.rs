//! Points in time: sums that never overflow, and one before all others.
use decision::{Micros, Time};

/// Before any time that a clock shows.
pub(crate) const LONG_PAST: Time = Time(i64::MIN);

/// The time `duration` after `start`.
pub(crate) fn after(start: Time, duration: Micros) -> Time {
    Time(start.0.saturating_add(duration))
}

/// Microseconds from `start` to `end`.
pub(crate) fn elapsed(start: Time, end: Time) -> Micros {
    end.0.saturating_sub(start.0)
}
