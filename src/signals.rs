//! Signal handling: SIGHUP reloads the configuration, SIGTERM and SIGINT shut the program down.
use crate::commands::Error;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Registers the signal handlers, so that no signal terminates the program during startup. Signals are queued
/// until [`handle`] is called.
pub(crate) fn register() -> Result<Signals, Error> {
    Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(Error::Signals)
}

/// Handles signals on a separate thread with a stack of `stack_bytes`: SIGHUP calls `reload`, which returns
/// the changed keys that require a restart; any other signal calls `shut_down`.
///
/// `reload` runs on another thread, so that a configuration file whose read blocks does not delay the
/// shutdown. That thread ends when no reload is requested any more. If it cannot be started, the start is
/// retried.
pub(crate) fn handle(
    mut signals: Signals,
    stack_bytes: usize,
    reload: impl FnMut() -> Result<Vec<String>, Error> + Send + 'static,
    shut_down: impl Fn() + Send + 'static,
) -> Result<(), Error> {
    let reloader = Arc::new(Reloader { state: Mutex::default(), reload: Mutex::new(Box::new(reload)) });
    let handler = move || {
        loop {
            // While a requested reload has no thread, signals are polled, so that the thread start is retried
            // in between.
            let received: Vec<i32> = if reloader.needs_thread() {
                std::thread::sleep(THREAD_RETRY_DELAY);
                signals.pending().collect()
            } else {
                signals.wait().collect()
            };
            for signal in received {
                if signal == SIGHUP { reloader.request() } else { shut_down() }
            }
            Reloader::start_if_needed(&reloader, stack_bytes);
        }
    };
    routing::spawn_needed("signals", stack_bytes, handler).map_err(Error::Signals)
}

/// Delay until a failed start of the reload thread is retried.
const THREAD_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The function that reloads the configuration and returns the changed keys that require a restart.
type ReloadFn = Box<dyn FnMut() -> Result<Vec<String>, Error> + Send>;

#[derive(Default)]
struct ReloaderState {
    /// A reload was requested and has not started yet. Further requests until then need no reload of their
    /// own, since the file is read when the reload starts.
    requested: bool,
    /// The reload thread is running.
    running: bool,
}

/// Runs requested reloads one after the other.
struct Reloader {
    state: Mutex<ReloaderState>,
    reload: Mutex<ReloadFn>,
}

impl Reloader {
    fn state(&self) -> MutexGuard<'_, ReloaderState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn request(&self) {
        self.state().requested = true;
    }

    fn needs_thread(&self) -> bool {
        let state = self.state();
        state.requested && !state.running
    }

    /// Starts the reload thread if a reload is requested and the thread is not running. If the start fails,
    /// the request remains pending.
    fn start_if_needed(this: &Arc<Reloader>, stack_bytes: usize) {
        if !this.needs_thread() {
            return;
        }
        this.state().running = true;
        let reloader = this.clone();
        if let Err(error) = routing::spawn("reload", stack_bytes, move || reloader.run()) {
            tracing::error!(%error, "configuration reload thread not started, retrying");
            this.state().running = false;
        }
    }

    /// Takes the next reload request. Returns false and marks the thread as ended if there is none.
    fn take_request(&self) -> bool {
        let mut state = self.state();
        state.running = state.requested;
        std::mem::take(&mut state.requested)
    }

    /// Reloads the configuration until no request is pending, and logs the results.
    fn run(&self) {
        let mut reload = self.reload.lock().unwrap_or_else(PoisonError::into_inner);
        while self.take_request() {
            match reload() {
                Ok(keys) if keys.is_empty() => tracing::info!("configuration reloaded"),
                Ok(keys) => {
                    let keys = keys.join(", ");
                    tracing::warn!(keys, "configuration keys not reloaded, restart needed");
                }
                Err(error) => {
                    tracing::error!(%error, "configuration reload failed, old configuration stays in force");
                }
            }
        }
    }
}
