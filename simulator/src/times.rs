//! Units and fixed times of the simulation; all times are in microseconds.
use decision::Time;

/// Microseconds in a second.
pub(crate) const SECOND: i64 = 1_000_000;
/// When a run begins; times before it are free for what happened earlier.
pub(crate) const RUN_BEGIN: Time = Time(SECOND);
/// How long a router waits for a connection that nobody accepts.
pub(crate) const CONNECT_TIMEOUT: i64 = 250_000;
/// How long after the notice of a drain a router may still send to the node.
pub(crate) const DRAIN_GRACE: i64 = 250_000;
/// How often a router's sessions and endpoint list handle the passing of time.
pub(crate) const TICK_INTERVAL: i64 = 30_000;
/// How long a sync of a session journal takes.
pub(crate) const JOURNAL_SYNC: i64 = 300;
/// How long a peer's session lease is valid.
pub(crate) const SESSION_LEASE: i64 = 300_000;
/// Uncertainty of the servers' clock as routers know it.
pub(crate) const CLOCK_UNCERTAINTY: i64 = 500;

/// Milliseconds as microseconds.
pub(crate) fn from_milliseconds(milliseconds: f64) -> i64 {
    (milliseconds * 1000.0) as i64
}

/// Seconds as microseconds.
pub(crate) fn from_seconds(seconds: f64) -> i64 {
    from_milliseconds(seconds * 1000.0)
}
