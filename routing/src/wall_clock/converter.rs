//! The converter that connections share: it reads both clocks and remembers each server's last position.
use super::offsets::{ClockOffsets, MAX_POSITION_AHEAD, StatedBy};
use crate::clock::Clock;
use decision::Time;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A reading of the wall clock that took longer than this is not compared with the router's own clock.
const MAX_READING_TIME: Duration = Duration::from_millis(2);

/// The last position that a server stated, as it was stated.
#[derive(Clone, Copy, Debug)]
struct StatedPosition {
    position: Time,
    stated_by: StatedBy,
}

#[derive(Debug, Default)]
struct State {
    offsets: ClockOffsets,
    servers: HashMap<SocketAddr, StatedPosition>,
}

/// Converts stated times to the router's own clock. Copies share what they know of steps.
#[derive(Clone, Debug)]
pub struct WallClock {
    clock: Clock,
    state: Arc<Mutex<State>>,
}

impl WallClock {
    /// A converter to this clock.
    pub fn new(clock: Clock) -> WallClock {
        WallClock { clock, state: Arc::default() }
    }

    /// The clock that stated times are converted to.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// What the wall clock shows now, as Unix time in microseconds.
    pub fn now(&self) -> Time {
        Clock::wall_now()
    }

    /// The state, after a comparison of the two clocks.
    fn compared_state(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let before = Instant::now();
        let wall = Clock::wall_now();
        if before.elapsed() < MAX_READING_TIME
            && let Some(step) = state.offsets.observe(self.clock.time_at(before), wall)
        {
            tracing::warn!(step_us = step, "wall clock stepped, stated times are converted accordingly");
            let servers = state.servers.values_mut();
            servers.for_each(|stated| stated.stated_by = StatedBy::UnknownClock);
        }
        state
    }

    /// When a server started that states this start.
    pub fn start(&self, stated: Time) -> Time {
        self.compared_state().offsets.start(self.clock.now(), stated)
    }

    /// The commit that a client states it must see, or that a server states it has made.
    pub fn commit(&self, stated: Time) -> Time {
        self.compared_state().offsets.commit(self.clock.now(), stated)
    }

    /// The position up to which a server states that it has applied commits; `None` if it can't be told. A primary's is
    /// the present.
    pub fn position(&self, server: SocketAddr, stated: Time, is_primary: bool) -> Option<Time> {
        let mut state = self.compared_state();
        let now = self.clock.now();
        if is_primary {
            let position = state.offsets.commit(now, stated);
            return Some(position).filter(|time| time.0 <= now.0 + MAX_POSITION_AHEAD);
        }
        let stated_by = state.clock_of(server, now, stated);
        state.servers.insert(server, StatedPosition { position: stated, stated_by });
        state.offsets.position(now, stated, stated_by)
    }
}

impl State {
    /// Which wall clock a replica goes by that states this position now.
    fn clock_of(&self, server: SocketAddr, now: Time, stated: Time) -> StatedBy {
        // Positions never go back: a lower one was read off a clock that did, and so were those that follow.
        let last = self.servers.get(&server);
        let went_back = last.is_some_and(|last| stated < last.position);
        let was_current = last.is_some_and(|last| last.stated_by == StatedBy::CurrentClock);
        if went_back || was_current || self.offsets.proves_current_clock(now, stated) {
            StatedBy::CurrentClock
        } else {
            StatedBy::UnknownClock
        }
    }
}
