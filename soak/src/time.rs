//! Times of a run: microseconds of the monotonic clock since its start.

/// Microseconds since the start of the run, or between two moments of it.
pub type Micros = i64;

/// One millisecond.
pub const MILLISECOND: Micros = 1_000;
/// One second.
pub const SECOND: Micros = 1_000_000;
