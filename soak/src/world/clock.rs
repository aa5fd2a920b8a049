//! The world's clocks: a monotonic one, and the wall clock that all machines read, which may be stepped.
use crate::history::Micros;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The world's clocks. Copies are the same clocks.
#[derive(Clone)]
pub struct WorldClock {
    start: Instant,
    unix_at_start: Micros,
    /// From when on the wall clock had which offset.
    offsets: Arc<Mutex<Vec<(Micros, Micros)>>>,
}

impl WorldClock {
    /// Clocks that start now.
    pub fn start() -> WorldClock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let unix_at_start = unix.as_micros() as Micros;
        WorldClock { start: Instant::now(), unix_at_start, offsets: Arc::new(Mutex::new(vec![(0, 0)])) }
    }

    /// The time since the start.
    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// Sets the wall clock's offset from now on.
    pub fn set_offset(&self, offset: Micros) {
        let now = self.now();
        self.offsets.lock().unwrap_or_else(PoisonError::into_inner).push((now, offset));
    }

    /// What the wall clock showed at a moment.
    pub fn wall(&self, at: Micros) -> Micros {
        let offsets = self.offsets.lock().unwrap_or_else(PoisonError::into_inner);
        let offset = offsets.iter().rev().find(|(from, _)| *from <= at).map_or(0, |(_, offset)| *offset);
        self.unix_at_start + at + offset
    }
}
