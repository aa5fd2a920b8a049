//! The servers' clock.
use std::time::{SystemTime, UNIX_EPOCH};

/// Microseconds of Unix time, or a number of microseconds.
pub type Micros = i64;

/// The time by the servers' clock, in microseconds of Unix time.
pub fn unix_micros() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as Micros
}
