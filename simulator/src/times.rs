//! Time units and constants of the simulation. All times are in microseconds.
use decision::Time;

/// Microseconds in a second.
pub(crate) const SECOND: i64 = 1_000_000;
/// Start time of a run. It is above 0, so that earlier times can stand for what happened before the run.
pub(crate) const RUN_START: Time = Time(SECOND);
/// Time after which a router gives up establishing a connection.
pub(crate) const CONNECT_TIMEOUT: i64 = 250_000;
/// Time after the notification of a drain during which a router may still send to the node.
pub(crate) const DRAIN_GRACE: i64 = 250_000;
/// Interval of the tick events of a router's session machine and endpoint list.
pub(crate) const TICK_INTERVAL: i64 = 30_000;
/// Duration of a sync of the session journal.
pub(crate) const JOURNAL_SYNC_DURATION: i64 = 300;
/// Validity of a session lease that a peer grants.
pub(crate) const SESSION_LEASE_DURATION: i64 = 300_000;
/// Uncertainty with which routers know the clock of the servers.
pub(crate) const CLOCK_UNCERTAINTY: i64 = 500;

/// Converts milliseconds to microseconds.
pub(crate) fn from_milliseconds(milliseconds: f64) -> i64 {
    (milliseconds * 1000.0) as i64
}

/// Converts seconds to microseconds.
pub(crate) fn from_seconds(seconds: f64) -> i64 {
    from_milliseconds(seconds * 1000.0)
}
