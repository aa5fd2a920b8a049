//! Starting threads, also while the operating system has none to give.
use std::fmt;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::Builder;
use std::time::{Duration, Instant};
use thiserror::Error;

/// How long [`spawn_needed`] retries for.
pub const START_TIMEOUT: Duration = Duration::from_secs(3);
/// The pause before a start is retried.
const RETRY_DELAY: Duration = Duration::from_millis(5);

/// No thread could be started; holds what the thread was to run, so that the caller can do something else with it.
#[derive(Error)]
#[error(
    "no thread could be started: {source}; raise the limit of processes of the user that the router runs as"
)]
pub struct SpawnError<F> {
    /// The error of the operating system.
    pub source: io::Error,
    /// What the thread was to run, which has not begun.
    pub run: F,
}

impl<F> fmt::Debug for SpawnError<F> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("SpawnError").field("source", &self.source).finish_non_exhaustive()
    }
}

/// Starts a named thread with a stack of `stack_bytes`. Of the name, Linux shows the first 15 bytes.
///
/// # Errors
/// The operating system gives no more threads or memory; raise the limit of processes of the user that the router runs
/// as.
pub fn spawn(name: &str, stack_bytes: usize, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    Builder::new().name(name.to_string()).stack_size(stack_bytes).spawn(run).map(|_| ())
}

/// Starts a named thread as [`spawn`] does, and retries for up to `timeout` while the operating system has none to give:
/// processes of the same host may hold all of them for a moment.
///
/// # Errors
/// [`SpawnError`], with what was to be run.
pub fn spawn_with_retry<F: FnOnce() + Send + 'static>(
    name: &str,
    stack_bytes: usize,
    timeout: Duration,
    run: F,
) -> Result<(), SpawnError<F>> {
    let deadline = Instant::now() + timeout;
    // A failed start drops its closure, so what is to be run stays here until a thread takes it.
    let pending = Arc::new(Mutex::new(Some(run)));
    loop {
        let own = pending.clone();
        let started = spawn(name, stack_bytes, move || {
            if let Some(run) = take(&own) {
                run();
            }
        });
        let Err(source) = started else { return Ok(()) };
        if is_shortage(&source) && Instant::now() < deadline {
            std::thread::sleep(RETRY_DELAY);
            continue;
        }
        return match take(&pending) {
            Some(run) => Err(SpawnError { source, run }),
            None => Ok(()),
        };
    }
}

/// Starts a thread that the program can't do without; retries for up to [`START_TIMEOUT`].
///
/// # Errors
/// As [`spawn`].
pub fn spawn_needed(name: &str, stack_bytes: usize, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    spawn_with_retry(name, stack_bytes, START_TIMEOUT, run).map_err(|failed| failed.source)
}

fn take<F>(pending: &Mutex<Option<F>>) -> Option<F> {
    pending.lock().unwrap_or_else(PoisonError::into_inner).take()
}

fn is_shortage(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::OutOfMemory)
}
