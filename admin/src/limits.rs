//! The limits of the server.
use std::time::Duration;

/// What the server may use.
#[derive(Clone, Debug)]
pub struct AdminLimits {
    /// Open connections. Beyond it, the connection that has been without a complete command the longest is closed.
    pub max_connections: usize,
    /// The longest line without its line end, in bytes.
    pub max_line_bytes: usize,
    /// How long a client may take to send its line, and again to read the response.
    pub io_timeout: Duration,
    /// The stack of the server's thread, in bytes.
    pub thread_stack_bytes: usize,
}
