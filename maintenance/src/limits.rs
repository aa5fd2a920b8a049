//! Limits of the state file and its lock, which the error texts quote.
use std::time::Duration;

/// Format version of the state file that this program writes, and the only one that it reads.
pub(crate) const FORMAT_VERSION: u32 = 1;
/// Maximum size of the state file in bytes: enough for a few thousand entries with long ids.
pub(crate) const MAX_FILE_BYTES: usize = 1 << 20;
/// How long to wait for a lock. Its holder needs only a few syncs; a holder that is stopped must not block
/// this process too.
pub(crate) const LOCK_TIMEOUT: Duration = Duration::from_millis(200);
