//! Limits of the admin server.
use std::time::Duration;

/// Limits of the resources that the server uses.
#[derive(Clone, Debug)]
pub struct AdminLimits {
    /// Maximum number of open connections. Beyond it connections are evicted: first those that have received
    /// their response, then the oldest ones without a complete command.
    pub max_connections: usize,
    /// Maximum length of a line without its line end, in bytes.
    pub max_line_bytes: usize,
    /// Maximum time for a client to send its line, and again to read the response.
    pub io_timeout: Duration,
    /// Stack size of the server's thread in bytes.
    pub thread_stack_bytes: usize,
}
