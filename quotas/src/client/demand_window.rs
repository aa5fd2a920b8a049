//! The intervals in which a client counts requests.
use crate::time::{LONG_PAST, elapsed};
use decision::{Micros, Time};

/// The number of intervals in the longest time over which demand is averaged, about 8 s.
pub(super) const INTERVALS: usize = 40;
/// The shortest interval, microseconds: an early report does not end one.
pub(super) const MIN_INTERVAL: Micros = 150_000;

/// When the latest intervals began. They form a ring, the same for all tenants.
#[derive(Clone, Debug, Hash)]
pub(super) struct DemandWindow {
    begins: [Time; INTERVALS],
    /// The position in the ring of the interval that is counted in now.
    current: usize,
}

impl Default for DemandWindow {
    fn default() -> DemandWindow {
        DemandWindow { begins: [LONG_PAST; INTERVALS], current: 0 }
    }
}

impl DemandWindow {
    /// The position in the ring of the interval that is counted in now.
    pub(super) fn current(&self) -> usize {
        self.current
    }

    /// The position of the `age`-th latest interval; the current one has age 1.
    pub(super) fn position(&self, age: usize) -> usize {
        (self.current + INTERVALS + 1 - age) % INTERVALS
    }

    /// The position of the oldest interval, which the next one replaces.
    pub(super) fn next(&self) -> usize {
        (self.current + 1) % INTERVALS
    }

    /// The time covered by the latest `count` intervals, microseconds, at least [`MIN_INTERVAL`]: rates are divided by it.
    pub(super) fn duration(&self, now: Time, count: usize) -> Micros {
        elapsed(self.begins[self.position(count)], now).max(MIN_INTERVAL)
    }

    /// At the first report, lets all intervals begin a shortest interval ago.
    pub(super) fn begin_if_new(&mut self, now: Time) {
        if self.begins[self.current] == LONG_PAST {
            self.begins = [Time(now.0.saturating_sub(MIN_INTERVAL)); INTERVALS];
        }
    }

    /// Whether the current interval is long enough to end.
    pub(super) fn is_interval_over(&self, now: Time) -> bool {
        elapsed(self.begins[self.current], now) >= MIN_INTERVAL
    }

    /// Ends the current interval.
    pub(super) fn begin_next_interval(&mut self, now: Time) {
        self.current = self.next();
        self.begins[self.current] = now;
    }
}
