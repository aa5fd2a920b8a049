//! Limits of a backoff delay.
use std::time::Duration;

/// The shortest and longest backoff between two attempts; the delay grows with each failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// The delay after the first failure.
    pub min: Duration,
    /// The longest delay, however many attempts have failed.
    pub max: Duration,
}
