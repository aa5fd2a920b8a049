//! Times of a run, in microseconds of the monotonic clock since the run started.

/// A point in time, as microseconds since the run started, or a duration in microseconds.
pub type Micros = i64;

/// One millisecond in microseconds.
pub const MILLISECOND: Micros = 1_000;
/// One second in microseconds.
pub const SECOND: Micros = 1_000_000;
