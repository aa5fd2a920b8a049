//! Signals: SIGHUP reads the configuration anew, SIGTERM and SIGINT shut the program down.
use crate::commands::Error;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Registers for the signals, so that from now on none of them kills the program while it still starts. They wait until
/// [`handle`] is called.
pub(crate) fn register() -> Result<Signals, Error> {
    Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(Error::Signals)
}

/// Handles signals on a thread of its own with a stack of `stack_bytes`: SIGHUP calls `reload`, which returns the keys
/// that need a restart; any other signal calls `shut_down`.
///
/// `reload` runs on a second thread: a file whose reading never ends must not hold up the shutdown. That thread ends when
/// nothing is asked for any more, and where none can be had it is tried again.
pub(crate) fn handle(
    mut signals: Signals,
    stack_bytes: usize,
    reload: impl FnMut() -> Result<Vec<String>, Error> + Send + 'static,
    shut_down: impl Fn() + Send + 'static,
) -> Result<(), Error> {
    let reloader = Arc::new(Reloader { state: Mutex::default(), reload: Mutex::new(Box::new(reload)) });
    let handler = move || {
        loop {
            // A reload that has no thread yet is looked after in between.
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

/// How long to wait before a thread for a reload is tried for again.
const THREAD_RETRY_DELAY: Duration = Duration::from_millis(50);

/// What reads the configuration anew.
type Reload = Box<dyn FnMut() -> Result<Vec<String>, Error> + Send>;

#[derive(Default)]
struct ReloaderState {
    /// A signal has come that no reload has followed yet. One is enough: it reads what the file holds by then.
    requested: bool,
    /// A thread carries reloads out.
    running: bool,
}

/// Carries reloads out, one after the other.
struct Reloader {
    state: Mutex<ReloaderState>,
    reload: Mutex<Reload>,
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

    /// Starts the thread where one is needed. Where none can be had, the request stays.
    fn start_if_needed(this: &Arc<Reloader>, stack_bytes: usize) {
        if !this.needs_thread() {
            return;
        }
        this.state().running = true;
        let own = this.clone();
        if let Err(error) = routing::spawn("reload", stack_bytes, move || own.run()) {
            tracing::error!(%error, "configuration reload thread not started, retrying");
            this.state().running = false;
        }
    }

    /// Whether one more reload is asked for; if not, the thread counts as ended.
    fn next(&self) -> bool {
        let mut state = self.state();
        state.running = state.requested;
        std::mem::take(&mut state.requested)
    }

    /// Reloads until nothing is asked for any more, and logs what came of it.
    fn run(&self) {
        let mut reload = self.reload.lock().unwrap_or_else(PoisonError::into_inner);
        while self.next() {
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
