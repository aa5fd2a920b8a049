//! The bounds of the state file and its lock, which the error texts quote.
use std::time::Duration;

/// The version of the state file that this program writes, and the only one that it reads.
pub(crate) const FORMAT_VERSION: u32 = 1;
/// No state file is larger: enough for some thousand entries with long ids.
pub(crate) const MAX_FILE_BYTES: usize = 1 << 20;
/// How long a lock is waited for. Its holder needs a few syncs; a holder that is stopped must not stop this process too.
pub(crate) const LOCK_TIMEOUT: Duration = Duration::from_millis(200);
