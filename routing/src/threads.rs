//! Starting threads, also where the system has none to give for a moment.
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::Builder;
use std::time::{Duration, Instant};

/// How long the threads that a program needs to start are tried for.
pub const START_PATIENCE: Duration = Duration::from_secs(3);
/// How long to wait before a start is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(5);

/// No thread could be started: the system's error, and what the thread was to run.
#[derive(Debug)]
pub struct NoThread<F> {
    /// Why.
    pub source: io::Error,
    /// What it was to run, which has not begun.
    pub run: F,
}

/// Starts a named thread with a stack of `stack_bytes`.
///
/// # Errors
/// The system gives no more threads or memory; raise the limit of processes of the user that the router runs as.
pub fn spawn(name: &str, stack_bytes: usize, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    Builder::new().name(name.to_string()).stack_size(stack_bytes).spawn(run).map(|_| ())
}

/// Starts a named thread as [`spawn`] does, and tries for up to `patience` while the system has none to give: processes of
/// the same host may hold all of them for a moment.
///
/// # Errors
/// [`NoThread`], with what was to be run.
pub fn spawn_within<F: FnOnce() + Send + 'static>(
    name: &str,
    stack_bytes: usize,
    patience: Duration,
    run: F,
) -> Result<(), NoThread<F>> {
    let until = Instant::now() + patience;
    // A failed start drops its closure, so what is to be run stays here until a thread takes it.
    let waiting = Arc::new(Mutex::new(Some(run)));
    let take = |waiting: &Mutex<Option<F>>| waiting.lock().unwrap_or_else(PoisonError::into_inner).take();
    loop {
        let own = waiting.clone();
        let started = spawn(name, stack_bytes, move || {
            if let Some(run) = take(&own) {
                run();
            }
        });
        let Err(source) = started else { return Ok(()) };
        let is_shortage =
            source.kind() == io::ErrorKind::WouldBlock || source.kind() == io::ErrorKind::OutOfMemory;
        if is_shortage && Instant::now() < until {
            std::thread::sleep(RETRY_DELAY);
            continue;
        }
        match take(&waiting) {
            Some(run) => return Err(NoThread { source, run }),
            None => return Ok(()),
        }
    }
}

/// Starts a thread that the program can't do without; tries for up to [`START_PATIENCE`].
///
/// # Errors
/// As [`spawn`].
pub fn spawn_needed(name: &str, stack_bytes: usize, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    spawn_within(name, stack_bytes, START_PATIENCE, run).map_err(|failed| failed.source)
}
