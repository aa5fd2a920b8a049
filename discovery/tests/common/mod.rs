//! Helpers for the tests of the liveness state machine.
use discovery::liveness::Settings;
use std::time::Duration;

pub(crate) fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// The settings used in production.
pub(crate) fn production_settings() -> Settings {
    Settings {
        stale_after: ms(2600),
        first_line_timeout: ms(600),
        min_open_interval: ms(250),
        max_open_interval: ms(1000),
        previous_address_grace: ms(4000),
        max_pending: 6,
        min_pending_time: ms(1100),
        oldest_pending_time: ms(10_000),
    }
}
