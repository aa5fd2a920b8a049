//! Delays that grow with each failure.
use std::time::Duration;

/// Bounds of the delay between two attempts, which grows with each attempt that fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// The shortest delay, after the first failure.
    pub min: Duration,
    /// The longest delay.
    pub max: Duration,
}
