//! Threads of this package: named, and with small stacks, for there is one for each connection.
use std::io;
use std::time::Duration;

const STACK_BYTES: usize = 128 * 1024;

/// The pause of an accept loop after a failed accept, such as one without a free descriptor.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Starts a named thread.
pub(crate) fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    std::thread::Builder::new().name(name.into()).stack_size(STACK_BYTES).spawn(run).map(|_| ())
}
