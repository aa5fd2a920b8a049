//! The clock shared by all servers.
use std::time::{SystemTime, UNIX_EPOCH};

/// A Unix time or a duration, in microseconds.
pub type Micros = i64;

/// Returns the current Unix time in microseconds.
pub fn unix_micros() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as Micros
}
