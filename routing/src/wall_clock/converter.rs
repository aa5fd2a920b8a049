//! Converter for reported times that connections share. The converter reads both clocks and stores the last
//! position of each server.
use super::offsets::{ClockOffsets, MAX_POSITION_AHEAD, ReportingClock};
use crate::clock::Clock;
use decision::Time;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A reading of the wall clock that took longer than this is not compared with the router's clock.
const MAX_READING_TIME: Duration = Duration::from_millis(2);

/// The last position that a server reported, before conversion.
#[derive(Clone, Copy, Debug)]
struct ReportedPosition {
    position: Time,
    reporting_clock: ReportingClock,
}

#[derive(Debug, Default)]
struct State {
    offsets: ClockOffsets,
    servers: HashMap<SocketAddr, ReportedPosition>,
}

/// Converts reported times to the router's clock. Clones share the detected steps.
#[derive(Clone, Debug)]
pub struct WallClock {
    clock: Clock,
    state: Arc<Mutex<State>>,
}

impl WallClock {
    /// Creates a converter to the given clock.
    pub fn new(clock: Clock) -> WallClock {
        WallClock { clock, state: Arc::default() }
    }

    /// Returns the clock to which reported times are converted.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Returns the current wall-clock time as Unix time in microseconds.
    pub fn now(&self) -> Time {
        Clock::wall_now()
    }

    /// Compares the two clocks to detect a step, then returns the locked state.
    fn lock_state_after_comparison(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let before = Instant::now();
        let wall = Clock::wall_now();
        if before.elapsed() < MAX_READING_TIME
            && let Some(step) = state.offsets.observe(self.clock.time_at(before), wall)
        {
            tracing::warn!(step_us = step, "wall clock stepped, conversion of reported times adjusted");
            let servers = state.servers.values_mut();
            servers.for_each(|reported| reported.reporting_clock = ReportingClock::UnknownClock);
        }
        state
    }

    /// Converts a start time that was reported for a server.
    pub fn start(&self, reported: Time) -> Time {
        self.lock_state_after_comparison().offsets.start(self.clock.now(), reported)
    }

    /// Converts the time of a commit that a client must observe or that a server has made.
    pub fn commit(&self, reported: Time) -> Time {
        self.lock_state_after_comparison().offsets.commit(self.clock.now(), reported)
    }

    /// Converts a time of the router's clock to Unix time in microseconds, as servers report it. The inverse of
    /// [`WallClock::commit`] unless the wall clock is stepped in between.
    pub fn to_unix(&self, time: Time) -> Time {
        self.lock_state_after_comparison().offsets.to_unix(time)
    }

    /// Converts the replication position that a server reported; returns `None` if it cannot be determined.
    /// The position of a primary is the present.
    pub fn position(&self, server: SocketAddr, reported: Time, is_primary: bool) -> Option<Time> {
        let mut state = self.lock_state_after_comparison();
        let now = self.clock.now();
        if is_primary {
            let position = state.offsets.commit(now, reported);
            return Some(position).filter(|time| time.0 <= now.0 + MAX_POSITION_AHEAD);
        }
        let reporting_clock = state.reporting_clock_of(server, now, reported);
        state.servers.insert(server, ReportedPosition { position: reported, reporting_clock });
        state.offsets.position(now, reported, reporting_clock)
    }
}

impl State {
    /// Determines which wall clock a replica used for the position that it reports now.
    fn reporting_clock_of(&self, server: SocketAddr, now: Time, reported: Time) -> ReportingClock {
        // The positions of a server never decrease. If the reported one is lower than the last, the server's
        // clock was stepped back, and the positions that follow are read from the stepped clock.
        let last = self.servers.get(&server);
        let has_decreased = last.is_some_and(|last| reported < last.position);
        let used_current_clock =
            last.is_some_and(|last| last.reporting_clock == ReportingClock::CurrentClock);
        if has_decreased || used_current_clock || self.offsets.proves_current_clock(now, reported) {
            ReportingClock::CurrentClock
        } else {
            ReportingClock::UnknownClock
        }
    }
}
