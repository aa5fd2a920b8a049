//! The bounds of a member's connection.
use std::time::Duration;

/// The size of each buffer of a connection.
pub(super) const BUFFER_BYTES: usize = 16 * 1024;

/// The bounds of a member's connection.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// A connection that is not made within this time has failed.
    pub connect_timeout: Duration,
    /// A response that brings nothing for this long has failed.
    pub read_timeout: Duration,
    /// The longest body of a response, and the longest line of one that goes on.
    pub max_bytes: usize,
}
