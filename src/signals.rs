//! Signals: SIGHUP reads the configuration anew, SIGTERM and SIGINT end the program.
use crate::commands::Error;
use crossbeam_channel::bounded;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Signals that are noted from now on, so that none ends the program while it still starts.
pub fn note() -> Result<Signals, Error> {
    Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(Error::Signals)
}

/// Obeys signals: SIGHUP reads the configuration anew, which gives the keys that only a restart follows; any other
/// one calls `end`. Reading has a thread of its own: a file that can't be read to its end must not hold up the end.
pub fn obey(
    mut signals: Signals,
    stack: usize,
    mut reload: impl FnMut() -> Result<Vec<String>, Error> + Send + 'static,
    end: impl Fn() + Send + 'static,
) -> Result<(), Error> {
    // One that waits is enough: it reads what is there by then.
    let (again, asked) = bounded::<()>(1);
    let mut reading = Some(move || {
        for () in asked {
            match reload() {
                Ok(keys) if keys.is_empty() => tracing::info!("reload: the configuration is followed"),
                Ok(keys) => tracing::warn!("reload: these keys need a restart: {}", keys.join(", ")),
                Err(e) => tracing::error!("reload: the old configuration stays: {e}"),
            }
        }
    });
    let obey = move || {
        for signal in signals.forever() {
            if signal != SIGHUP {
                end();
                continue;
            }
            // An error means that one waits already.
            _ = again.try_send(());
            // Most routers are never asked for it.
            if let Some(Err(e)) = reading.take().map(|read| routing::spawn("reload", stack, read)) {
                tracing::error!("reload: no thread for it ({e}): restart the router to follow the file");
            }
        }
    };
    routing::spawn("signals", stack, obey).map_err(Error::Signals)
}
