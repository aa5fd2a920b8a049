//! Log output to standard error, as text or JSON lines.
use settings::operator::LogConfig;
use tracing_subscriber::filter::LevelFilter;

/// Initializes the log with the configured level and format.
pub(crate) fn start(log: &LogConfig) {
    let level: LevelFilter = log.level.parse().unwrap_or(LevelFilter::INFO);
    let subscriber = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .with_max_level(level);
    // If the log was initialized before, the earlier settings remain in effect.
    _ = if log.json { subscriber.json().flatten_event(true).try_init() } else { subscriber.try_init() };
}

/// Reports the error that ends the program: in the log if it was initialized, otherwise as a plain line on
/// standard error.
pub(crate) fn report_exit(error: &dyn std::error::Error) {
    if tracing::dispatcher::has_been_set() {
        tracing::error!(%error, "program failed");
    } else {
        eprintln!("damsonvale: {error}");
    }
}
