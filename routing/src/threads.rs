//! Starting threads, with retries while the operating system's thread or memory limit is reached.
use std::fmt;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::Builder;
use std::time::{Duration, Instant};
use thiserror::Error;

/// How long [`spawn_needed`] retries starting a thread.
pub const START_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay between attempts to start a thread.
const RETRY_DELAY: Duration = Duration::from_millis(5);

/// A thread could not be started. The error contains the closure, so that the caller can run or discard it.
#[derive(Error)]
#[error("cannot start a thread: {source}; raise the process limit of the user that runs the router")]
pub struct SpawnError<F> {
    /// Error returned by the operating system.
    pub source: io::Error,
    /// Closure that was to run on the thread and has not been called.
    pub run: F,
}

impl<F> fmt::Debug for SpawnError<F> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("SpawnError").field("source", &self.source).finish_non_exhaustive()
    }
}

/// Starts a named thread with a stack of `stack_bytes`. Linux displays only the first 15 bytes of the name.
///
/// # Errors
/// Returns the error of the operating system if no thread or memory is available. Raise the process limit of
/// the user that runs the router.
pub fn spawn(name: &str, stack_bytes: usize, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    Builder::new().name(name.to_string()).stack_size(stack_bytes).spawn(run).map(|_| ())
}

/// Starts a named thread like [`spawn`], but retries for up to `timeout` while the thread limit is reached,
/// since other processes on the host may use up the limit for a short time.
///
/// # Errors
/// Returns a [`SpawnError`] that contains the closure.
pub fn spawn_with_retry<F: FnOnce() + Send + 'static>(
    name: &str,
    stack_bytes: usize,
    timeout: Duration,
    run: F,
) -> Result<(), SpawnError<F>> {
    let deadline = Instant::now() + timeout;
    // A failed start drops its closure, so `run` is stored here until a thread takes it.
    let pending = Arc::new(Mutex::new(Some(run)));
    loop {
        let thread_pending = pending.clone();
        let started = spawn(name, stack_bytes, move || {
            if let Some(run) = take(&thread_pending) {
                run();
            }
        });
        let Err(source) = started else { return Ok(()) };
        if is_resource_shortage(&source) && Instant::now() < deadline {
            std::thread::sleep(RETRY_DELAY);
            continue;
        }
        return match take(&pending) {
            Some(run) => Err(SpawnError { source, run }),
            None => Ok(()),
        };
    }
}

/// Starts a thread that the program cannot run without. Retries for up to [`START_TIMEOUT`].
///
/// # Errors
/// Returns the same errors as [`spawn`].
pub fn spawn_needed(name: &str, stack_bytes: usize, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    spawn_with_retry(name, stack_bytes, START_TIMEOUT, run).map_err(|failed| failed.source)
}

fn take<F>(pending: &Mutex<Option<F>>) -> Option<F> {
    pending.lock().unwrap_or_else(PoisonError::into_inner).take()
}

fn is_resource_shortage(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::OutOfMemory)
}
