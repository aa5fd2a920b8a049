//! What starting a process of any kind needs.
use std::time::Duration;

/// How long a process may take until it is ready: hundreds start at once.
pub(super) const STARTUP_TIMEOUT: Duration = Duration::from_mins(1);
/// How often the main thread looks at what it waits for.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The part of a log line that precedes the address at which a router accepts clients.
pub(super) const READY_LOG_LINE: &str = "client listener bound name=\"mysql\" addr=";
