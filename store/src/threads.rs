//! Spawns the named threads of this package. The stacks are small because each connection has a thread.
use std::io;
use std::time::Duration;

const STACK_BYTES: usize = 128 * 1024;

/// How long an accept loop sleeps after a failed accept, for example when no file descriptor is free.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Starts a named thread.
pub(crate) fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    std::thread::Builder::new().name(name.into()).stack_size(STACK_BYTES).spawn(run).map(|_| ())
}
