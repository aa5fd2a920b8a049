//! The offsets between the wall clock and the router's own, and what a stated time means under them.
use decision::{Micros, Time};

/// Smaller differences are no steps: the two clocks are not read in the same moment.
const MIN_STEP: Micros = 20_000;
/// No position lies further ahead of the present: the server that states one is wrong, or its clock was stepped since.
pub(super) const MAX_POSITION_AHEAD: Micros = 1_000_000;
/// A commit may lie this far ahead: commits are rounded up.
const MAX_COMMIT_AHEAD: Micros = 10_000;
/// No replica is as far behind as this: of two moments so far apart, the later one is meant.
const LARGE_STEP: Micros = 60_000_000;
/// For this long after a step, positions that were read before it are expected.
const AMBIGUITY_AFTER_STEP: Micros = 10_000_000;
/// A commit ahead of every clock counts as at most this far ahead.
const MAX_UNKNOWN_COMMIT_AHEAD: Micros = 86_400_000_000;
/// Offsets that are remembered from before steps.
const MAX_PAST_OFFSETS: usize = 4;

/// Which wall clock a server read a stated position off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatedBy {
    /// The server has shown that it goes by the wall clock as it is now.
    CurrentClock,
    /// The server may go by the wall clock as it was before a step.
    UnknownClock,
}

/// The wall clock's offsets against the router's own clock, now and before its last steps.
#[derive(Clone, Debug, Default)]
pub struct ClockOffsets {
    /// The wall clock less the router's own, in microseconds.
    current: Micros,
    /// Offsets before the last steps, the latest first.
    past: Vec<Micros>,
    /// When the last step was detected.
    stepped_at: Option<Time>,
}

impl ClockOffsets {
    /// Takes a reading `wall` of the wall clock at `now`. Returns by how many microseconds it was stepped, if it was.
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

    /// The moment that is meant if the wall clock was read as it is now.
    fn by_current_clock(&self, stated: Time) -> Time {
        Time(stated.0.saturating_sub(self.current))
    }

    /// All moments that a stated time may mean and that are not later than `latest`.
    fn plausible(&self, stated: Time, latest: Time) -> impl Iterator<Item = Time> {
        let before = self.past.iter().map(move |offset| Time(stated.0.saturating_sub(*offset)));
        std::iter::once(self.by_current_clock(stated)).chain(before).filter(move |time| *time <= latest)
    }

    /// When a server started that states this start: no later than now, and as late as it may be.
    pub fn start(&self, now: Time, stated: Time) -> Time {
        self.plausible(stated, now).max().unwrap_or(now)
    }

    /// The commit that must be seen, as late as it may be.
    pub fn commit(&self, now: Time, stated: Time) -> Time {
        let latest = Time(now.0 + MAX_COMMIT_AHEAD);
        let latest_unknown = now.0.saturating_add(MAX_UNKNOWN_COMMIT_AHEAD);
        let ahead = Time(self.by_current_clock(stated).0.min(latest_unknown));
        self.plausible(stated, latest).max().unwrap_or(ahead)
    }

    /// The position up to which a server has applied commits; `None` if it can't be told.
    pub fn position(&self, now: Time, stated: Time, stated_by: StatedBy) -> Option<Time> {
        let latest = Time(now.0 + MAX_POSITION_AHEAD);
        let by_current_clock = Some(self.by_current_clock(stated)).filter(|time| *time <= latest);
        let is_unambiguous = self.stepped_at.is_none_or(|at| now.0 - at.0 > AMBIGUITY_AFTER_STEP);
        if stated_by == StatedBy::CurrentClock || (is_unambiguous && by_current_clock.is_some()) {
            return by_current_clock;
        }
        let latest_meant = self.plausible(stated, latest).max()?;
        let near = self.plausible(stated, latest).filter(|time| latest_meant.0 - time.0 < LARGE_STEP);
        near.min()
    }

    /// Whether a stated position can only have been read off the wall clock as it is now.
    pub(super) fn proves_current_clock(&self, now: Time, stated: Time) -> bool {
        let latest = Time(now.0 + MAX_POSITION_AHEAD);
        self.by_current_clock(stated) <= latest && self.plausible(stated, latest).count() == 1
    }
}
