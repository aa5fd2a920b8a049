//! The log: lines on standard error, as text or as JSON.
use settings::operator::LogConfig;
use tracing_subscriber::filter::LevelFilter;

/// Starts the log with the level and the format that the configuration gives.
pub(crate) fn start(log: &LogConfig) {
    let level: LevelFilter = log.level.parse().unwrap_or(LevelFilter::INFO);
    let subscriber = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .with_max_level(level);
    // A second start does no harm: the settings of the first one stay.
    _ = if log.json { subscriber.json().flatten_event(true).try_init() } else { subscriber.try_init() };
}

/// Reports why the program ends: in the log once it has been started, as a plain line before that.
pub(crate) fn report_exit(error: &dyn std::error::Error) {
    if tracing::dispatcher::has_been_set() {
        tracing::error!(%error, "program failed");
    } else {
        eprintln!("damsonvale: {error}");
    }
}
