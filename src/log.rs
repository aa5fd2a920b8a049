//! The log: lines on standard error, as text or as JSON, written by whichever thread has something to say.
use settings::operator::Log;
use tracing_subscriber::filter::LevelFilter;

/// Starts the log as an operator's file says.
pub fn start(log: &Log) {
    let level: LevelFilter = log.level.parse().unwrap_or(LevelFilter::INFO);
    let lines = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .with_max_level(level);
    // A second start is no harm: the first one's settings stay.
    _ = if log.json { lines.json().flatten_event(true).try_init() } else { lines.try_init() };
}

/// The line that says why the program ends: in the log where it has begun, plainly where it has not.
pub fn last(why: &str) {
    if tracing::dispatcher::has_been_set() {
        tracing::error!("damsonvale: {why}");
    } else {
        eprintln!("damsonvale: {why}");
    }
}
