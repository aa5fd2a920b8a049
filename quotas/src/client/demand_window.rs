//! The time intervals in which a client counts requests.
use crate::time::{DISTANT_PAST, elapsed};
use decision::{Micros, Time};

/// The number of intervals that are retained, about 8 s: the longest time over which demand is averaged.
pub(super) const INTERVALS: usize = 40;
/// The shortest interval, microseconds. A report made earlier does not end the interval.
pub(super) const MIN_INTERVAL: Micros = 150_000;

/// The start times of the latest intervals, in a ring buffer that all tenants share.
#[derive(Clone, Debug, Hash)]
pub(super) struct DemandWindow {
    begins: [Time; INTERVALS],
    /// The ring buffer index of the current interval.
    current: usize,
}

impl Default for DemandWindow {
    fn default() -> DemandWindow {
        DemandWindow { begins: [DISTANT_PAST; INTERVALS], current: 0 }
    }
}

impl DemandWindow {
    /// The ring buffer index of the current interval.
    pub(super) fn current(&self) -> usize {
        self.current
    }

    /// The ring buffer index of the interval of this age; the current one has age 1.
    pub(super) fn ring_index(&self, age: usize) -> usize {
        (self.current + INTERVALS + 1 - age) % INTERVALS
    }

    /// The ring buffer index of the oldest interval, which the next one replaces.
    pub(super) fn next(&self) -> usize {
        (self.current + 1) % INTERVALS
    }

    /// The time covered by the latest `count` intervals, microseconds. At least [`MIN_INTERVAL`], because
    /// rates are divided by it.
    pub(super) fn duration(&self, now: Time, count: usize) -> Micros {
        elapsed(self.begins[self.ring_index(count)], now).max(MIN_INTERVAL)
    }

    /// At the first report, sets the start of all intervals to [`MIN_INTERVAL`] ago.
    pub(super) fn initialize(&mut self, now: Time) {
        if self.begins[self.current] == DISTANT_PAST {
            self.begins = [Time(now.0.saturating_sub(MIN_INTERVAL)); INTERVALS];
        }
    }

    /// Whether the current interval is long enough to end.
    pub(super) fn is_interval_over(&self, now: Time) -> bool {
        elapsed(self.begins[self.current], now) >= MIN_INTERVAL
    }

    /// Ends the current interval and begins the next one.
    pub(super) fn begin_next_interval(&mut self, now: Time) {
        self.current = self.next();
        self.begins[self.current] = now;
    }
}
