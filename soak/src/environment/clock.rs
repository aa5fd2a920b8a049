//! The clocks of a run: a monotonic clock, and the wall clock of the environment, which faults may step.
use crate::time::Micros;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// An offset of the wall clock from a given time on.
#[derive(Clone, Copy)]
struct WallClockStep {
    from: Micros,
    offset: Micros,
}

/// The clocks of a run. Clones share the wall clock's steps.
#[derive(Clone)]
pub struct RunClock {
    start: Instant,
    unix_at_start: Micros,
    steps: Arc<Mutex<Vec<WallClockStep>>>,
}

impl RunClock {
    /// Starts the clocks of a run.
    pub fn start() -> RunClock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let steps = vec![WallClockStep { from: 0, offset: 0 }];
        RunClock {
            start: Instant::now(),
            unix_at_start: unix.as_micros() as Micros,
            steps: Arc::new(Mutex::new(steps)),
        }
    }

    /// Returns the time since the start of the run.
    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// Sets the wall clock's offset from now on.
    pub fn set_offset(&self, offset: Micros) {
        let from = self.now();
        self.lock().push(WallClockStep { from, offset });
    }

    /// Returns the wall clock's time at a point of the run, in microseconds since 1970.
    pub fn wall_clock_micros(&self, at: Micros) -> Micros {
        let steps = self.lock();
        let offset = steps.iter().rev().find(|step| step.from <= at).map_or(0, |step| step.offset);
        self.unix_at_start + at + offset
    }

    /// Returns the wall clock's time at a point of the run, in milliseconds since 1970, rounded down.
    pub fn wall_clock_ms(&self, at: Micros) -> i64 {
        self.wall_clock_micros(at).div_euclid(1000)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<WallClockStep>> {
        self.steps.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
