//! Offsets between the wall clock and the router's clock, and the conversion of reported times with these
//! offsets.
use decision::{Micros, Time};

/// Minimum difference that counts as a step. Smaller differences occur because the two clocks are not read at
/// exactly the same time.
const MIN_STEP: Micros = 20_000;
/// Maximum time by which a position may be ahead of the present. Beyond it, the server is wrong or its clock
/// was stepped after the position was read.
pub(super) const MAX_POSITION_AHEAD: Micros = 1_000_000;
/// Maximum time by which a commit may be ahead of the present. Commit times are rounded up.
const MAX_COMMIT_AHEAD: Micros = 10_000;
/// Difference between two interpretations of a position from which the later one is used, because no replica
/// lags that much.
const MAX_REPLICA_LAG: Micros = 60_000_000;
/// Time after a step during which positions that were read before the step are still expected.
const AMBIGUITY_AFTER_STEP: Micros = 10_000_000;
/// A commit that is ahead of the present under every offset is clamped to this distance.
const MAX_UNKNOWN_COMMIT_AHEAD: Micros = 86_400_000_000;
/// Maximum number of past offsets to store.
const MAX_PAST_OFFSETS: usize = 4;

/// Which state of the wall clock a server used for a reported position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportingClock {
    /// The server is known to use the wall clock since the last step.
    CurrentClock,
    /// The server may use the wall clock from before a step.
    UnknownClock,
}

/// Offsets of the wall clock relative to the router's clock, now and before the last steps.
#[derive(Clone, Debug, Default)]
pub struct ClockOffsets {
    /// Wall-clock time minus the router's time, in microseconds.
    current: Micros,
    /// Offsets before the last steps, most recent first.
    past: Vec<Micros>,
    /// Time at which the last step was detected.
    stepped_at: Option<Time>,
}

impl ClockOffsets {
    /// Processes a reading `wall` of the wall clock at `now`. Returns the size of the step in microseconds if
    /// the clock was stepped.
    pub fn observe(&mut self, now: Time, wall: Time) -> Option<Micros> {
        let step = wall.0 - now.0 - self.current;
        if step.abs() < MIN_STEP {
            return None;
        }
        self.past.insert(0, self.current);
        self.past.truncate(MAX_PAST_OFFSETS);
        self.current += step;
        self.past.retain(|offset| (offset - self.current).abs() >= MIN_STEP);
        self.stepped_at = Some(now);
        Some(step)
    }

    /// Converts a reported time under the assumption that it was read from the current wall clock.
    fn by_current_clock(&self, reported: Time) -> Time {
        Time(reported.0.saturating_sub(self.current))
    }

    /// Converts a time of the router's clock to the current wall clock.
    pub fn to_unix(&self, time: Time) -> Time {
        Time(time.0.saturating_add(self.current))
    }

    /// Returns the conversions of a reported time under all known offsets that are not later than `latest`.
    fn plausible(&self, reported: Time, latest: Time) -> impl Iterator<Item = Time> {
        let before = self.past.iter().map(move |offset| Time(reported.0.saturating_sub(*offset)));
        std::iter::once(self.by_current_clock(reported)).chain(before).filter(move |time| *time <= latest)
    }

    /// Converts a start time to the latest possible time that is not after `now`.
    pub fn start(&self, now: Time, reported: Time) -> Time {
        self.plausible(reported, now).max().unwrap_or(now)
    }

    /// Converts the time of a commit that must be observed to the latest possible time.
    pub fn commit(&self, now: Time, reported: Time) -> Time {
        let latest = Time(now.0 + MAX_COMMIT_AHEAD);
        let latest_unknown = now.0.saturating_add(MAX_UNKNOWN_COMMIT_AHEAD);
        let clamped = Time(self.by_current_clock(reported).0.min(latest_unknown));
        self.plausible(reported, latest).max().unwrap_or(clamped)
    }

    /// Converts the position up to which a server has applied commits; returns `None` if it cannot be
    /// determined.
    pub fn position(&self, now: Time, reported: Time, reporting_clock: ReportingClock) -> Option<Time> {
        let latest = Time(now.0 + MAX_POSITION_AHEAD);
        let by_current_clock = Some(self.by_current_clock(reported)).filter(|time| *time <= latest);
        let is_unambiguous = self.stepped_at.is_none_or(|at| now.0 - at.0 > AMBIGUITY_AFTER_STEP);
        if reporting_clock == ReportingClock::CurrentClock || (is_unambiguous && by_current_clock.is_some()) {
            return by_current_clock;
        }
        let latest_plausible = self.plausible(reported, latest).max()?;
        let plausible_near_latest =
            self.plausible(reported, latest).filter(|time| latest_plausible.0 - time.0 < MAX_REPLICA_LAG);
        plausible_near_latest.min()
    }

    /// Returns whether a reported position can only have been read from the current wall clock.
    pub(super) fn proves_current_clock(&self, now: Time, reported: Time) -> bool {
        let latest = Time(now.0 + MAX_POSITION_AHEAD);
        self.by_current_clock(reported) <= latest && self.plausible(reported, latest).count() == 1
    }
}
