//! Signals: SIGHUP reads the configuration anew, SIGTERM and SIGINT shut the program down.
use crate::commands::Error;
use crossbeam_channel::{Receiver, bounded};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Registers for the signals, so that from now on none of them kills the program while it still starts. They wait until
/// [`handle`] is called.
pub(crate) fn register() -> Result<Signals, Error> {
    Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(Error::Signals)
}

/// Handles signals on a thread of its own with a stack of `stack_bytes`: SIGHUP calls `reload`, which returns the keys
/// that need a restart; any other signal calls `shut_down`.
///
/// `reload` runs on a second thread: a file whose reading never ends must not hold up the shutdown.
pub(crate) fn handle(
    mut signals: Signals,
    stack_bytes: usize,
    reload: impl FnMut() -> Result<Vec<String>, Error> + Send + 'static,
    shut_down: impl Fn() + Send + 'static,
) -> Result<(), Error> {
    // One waiting request is enough: the reload that it causes reads what the file holds by then.
    let (reload_sender, reload_requests) = bounded::<()>(1);
    let mut reloader = Some(move || run_reloads(&reload_requests, reload));
    let handler = move || {
        for signal in signals.forever() {
            if signal != SIGHUP {
                shut_down();
                continue;
            }
            // An error means that a request waits already.
            _ = reload_sender.try_send(());
            // The thread is started by the first SIGHUP: most routers never get one.
            if let Some(Err(e)) = reloader.take().map(|run| routing::spawn("reload", stack_bytes, run)) {
                tracing::error!("reload: no thread for it ({e}): restart the router to follow the file");
            }
        }
    };
    routing::spawn("signals", stack_bytes, handler).map_err(Error::Signals)
}

/// Reloads once for each request, and logs what came of it.
fn run_reloads(requests: &Receiver<()>, mut reload: impl FnMut() -> Result<Vec<String>, Error>) {
    for () in requests {
        match reload() {
            Ok(keys) if keys.is_empty() => tracing::info!("reload: the configuration is followed"),
            Ok(keys) => tracing::warn!("reload: these keys need a restart: {}", keys.join(", ")),
            Err(e) => tracing::error!("reload: the old configuration stays: {e}"),
        }
    }
}
