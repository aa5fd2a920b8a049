//! Times that others state: servers their positions, discovery their starts, clients the commits that they must see. They
//! are read off the wall clock, which may be stepped at any time, by seconds or an hour. The router goes by a clock of its
//! own that never is ([`Clock`]); here stated times are put on that clock.
//!
//! [`Axes`] decides, without a clock: it is told when the wall clock shows what, notices a step, and keeps the offset that
//! held before it. A stated time may have been read before or after the step, so it may mean either of two moments. Which
//! of them is taken depends on what would go wrong: a start and a commit that must be seen are taken as late as they can
//! be, a position that a replica states as early as it can be, unless the replica shows that it goes by the clock as it is
//! now.
use crate::clock::Clock;
use decision::{Micros, Time};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Smaller differences are no steps: the two clocks are not read in the same moment.
const MIN_STEP: Micros = 20_000;
/// Readings of the two clocks that are further apart than this say nothing.
const MAX_READING: Duration = Duration::from_millis(2);
/// No position lies further ahead of the present: whoever states one errs, or its clock was stepped since.
const MAX_AHEAD: Micros = 1_000_000;
/// A commit may lie this far ahead: commits are rounded up.
const MAX_COMMIT_AHEAD: Micros = 10_000;
/// No replica is as far behind as this: of two moments so far apart, the later one is meant.
const LARGE_STEP: Micros = 60_000_000;
/// For how long after a step positions that were read before it are expected.
const AMBIGUOUS_FOR: Micros = 10_000_000;
/// A commit that lies ahead of every clock is as far as one that lies a day ahead.
const DAY: Micros = 86_400_000_000;
/// Offsets that are remembered from before steps.
const MAX_PAST_OFFSETS: usize = 4;

/// The wall clock's offsets against the router's own clock, now and before its steps.
#[derive(Clone, Debug, Default)]
pub struct Axes {
    /// The wall clock less the router's own, in microseconds.
    offset: Micros,
    /// Offsets before the last steps, the latest first.
    past: Vec<Micros>,
    /// When the last step was noticed.
    stepped_at: Option<Time>,
}

impl Axes {
    /// Takes what the wall clock shows at `now`; returns by how much it was stepped, if it was.
    pub fn observe(&mut self, now: Time, wall: Time) -> Option<Micros> {
        let step = wall.0 - now.0 - self.offset;
        if step.abs() < MIN_STEP {
            return None;
        }
        self.past.insert(0, self.offset);
        self.past.truncate(MAX_PAST_OFFSETS);
        self.offset += step;
        self.past.retain(|offset| (offset - self.offset).abs() >= MIN_STEP);
        self.stepped_at = Some(now);
        Some(step)
    }

    /// The moment that is meant if the wall clock was read as it is now.
    fn current(&self, stated: Time) -> Time {
        Time(stated.0.saturating_sub(self.offset))
    }

    /// All moments that a stated time may mean and that are not later than `latest`.
    fn plausible(&self, stated: Time, latest: Time) -> impl Iterator<Item = Time> {
        let before = self.past.iter().map(move |offset| Time(stated.0.saturating_sub(*offset)));
        std::iter::once(self.current(stated)).chain(before).filter(move |time| *time <= latest)
    }

    /// When a server started that states this time: no later than now, and as late as it may be.
    pub fn start(&self, now: Time, stated: Time) -> Time {
        self.plausible(stated, now).max().unwrap_or(now)
    }

    /// The commit that has to be seen, as late as it may be.
    pub fn commit(&self, now: Time, stated: Time) -> Time {
        let latest = Time(now.0 + MAX_COMMIT_AHEAD);
        let ahead = Time(self.current(stated).0.min(now.0.saturating_add(DAY)));
        self.plausible(stated, latest).max().unwrap_or(ahead)
    }

    /// Up to where a server has applied commits; `None` where it can't be told. `is_current`: the server has shown that it
    /// goes by the wall clock as it is now.
    pub fn position(&self, now: Time, stated: Time, is_current: bool) -> Option<Time> {
        let latest = Time(now.0 + MAX_AHEAD);
        let current = Some(self.current(stated)).filter(|time| *time <= latest);
        let is_unambiguous = self.stepped_at.is_none_or(|at| now.0 - at.0 > AMBIGUOUS_FOR);
        if is_current || (is_unambiguous && current.is_some()) {
            return current;
        }
        let latest_meant = self.plausible(stated, latest).max()?;
        let near = self.plausible(stated, latest).filter(|time| latest_meant.0 - time.0 < LARGE_STEP);
        near.min()
    }

    /// Whether a stated position can only have been read off the wall clock as it is now.
    fn proves_current(&self, now: Time, stated: Time) -> bool {
        let latest = Time(now.0 + MAX_AHEAD);
        self.current(stated) <= latest && self.plausible(stated, latest).count() == 1
    }
}

/// What a server stated last, and whether that was read off the wall clock as it is now.
#[derive(Clone, Copy, Debug)]
struct Stated {
    position: Time,
    is_current: bool,
}

#[derive(Debug, Default)]
struct State {
    axes: Axes,
    servers: HashMap<SocketAddr, Stated>,
}

/// Puts stated times on the router's own clock. Copies share what they know of steps.
#[derive(Clone, Debug)]
pub struct WallClock {
    clock: Clock,
    state: Arc<Mutex<State>>,
}

impl WallClock {
    /// Stated times are put on this clock.
    pub fn new(clock: Clock) -> WallClock {
        WallClock { clock, state: Arc::default() }
    }

    /// The clock that stated times are put on.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// What the wall clock shows now.
    pub fn now(&self) -> Time {
        Clock::wall_now()
    }

    /// The state, once the clocks were compared.
    fn state(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let before = Instant::now();
        let wall = Clock::wall_now();
        if before.elapsed() < MAX_READING
            && let Some(step) = state.axes.observe(self.clock.time_at(before), wall)
        {
            tracing::warn!(step_us = step, "the wall clock was stepped; stated times are read accordingly");
            state.servers.values_mut().for_each(|stated| stated.is_current = false);
        }
        state
    }

    /// When a server started that states this time.
    pub fn start(&self, stated: Time) -> Time {
        self.state().axes.start(self.clock.now(), stated)
    }

    /// The commit that a client states it must see, or that a server states it has made.
    pub fn commit(&self, stated: Time) -> Time {
        self.state().axes.commit(self.clock.now(), stated)
    }

    /// Up to where a server states that it has applied commits; a primary stands at the present.
    pub fn position(&self, server: SocketAddr, stated: Time, is_primary: bool) -> Option<Time> {
        let mut state = self.state();
        let now = self.clock.now();
        if is_primary {
            return Some(state.axes.commit(now, stated)).filter(|time| time.0 <= now.0 + MAX_AHEAD);
        }
        // Positions never go back: a lower one was read off a clock that did, and so were those that follow.
        let last = state.servers.get(&server).copied();
        let went_back = last.is_some_and(|last| stated < last.position);
        let was_current = last.is_some_and(|last| last.is_current);
        let is_current = went_back || was_current || state.axes.proves_current(now, stated);
        state.servers.insert(server, Stated { position: stated, is_current });
        state.axes.position(now, stated, is_current)
    }
}
