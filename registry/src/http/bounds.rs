//! Timeouts and size limits of a connection to a registry member.
use std::time::Duration;

/// The size of each of a connection's input and output buffers.
pub(super) const BUFFER_BYTES: usize = 16 * 1024;

/// Timeouts and size limits of a connection to a registry member.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// How long establishing a connection may take.
    pub connect_timeout: Duration,
    /// How long a read may receive nothing before the request fails.
    pub read_timeout: Duration,
    /// Size limit for a response body, or for one line of a streaming response.
    pub max_bytes: usize,
}
