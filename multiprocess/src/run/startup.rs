//! Constants for starting processes.
use std::time::Duration;

/// Maximum time until a process is ready; long, because hundreds of processes start at once.
pub(super) const STARTUP_TIMEOUT: Duration = Duration::from_mins(1);
/// Interval at which the main thread polls for readiness, due faults and due recoveries.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The text in a router's log line that precedes its client listener's address.
pub(super) const READY_LOG_LINE: &str = "client listener bound name=\"mysql\" addr=";
