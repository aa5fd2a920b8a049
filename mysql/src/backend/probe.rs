//! The response to a probe: one row of texts.
use crate::results::text_row;
use routing::Time;

/// What a server says to a probe. A cell that is missing or malformed is `None`.
pub(super) struct ProbeRow {
    /// Whether it takes writes.
    pub(super) primary: Option<bool>,
    /// The time of the heartbeat that it has applied last.
    pub(super) position: Option<Time>,
    /// Its clock.
    pub(super) clock: Option<Time>,
}

impl ProbeRow {
    /// Parses the row: read-only or not, the heartbeat and the clock in milliseconds.
    pub(super) fn parse(payload: &[u8]) -> ProbeRow {
        let cells = text_row(payload);
        let cell = |index: usize| {
            let bytes = cells.get(index).copied().flatten()?;
            std::str::from_utf8(bytes).ok()
        };
        let time = |index: usize| {
            let milliseconds = cell(index)?.parse::<f64>().ok().filter(|ms| ms.is_finite())?;
            Some(Time((milliseconds * 1000.0) as i64))
        };
        ProbeRow {
            primary: cell(0).map(|read_only| matches!(read_only, "0" | "OFF" | "off")),
            position: time(1),
            clock: time(2),
        }
    }
}
