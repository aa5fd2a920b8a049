//! Parses the response to a probe, which is one row in text format.
use crate::results::parse_text_row;
use routing::Time;

/// Values of a probe's result row. A column that is missing or malformed is `None`.
pub(super) struct ProbeRow {
    /// Whether the server accepts writes.
    pub(super) primary: Option<bool>,
    /// Time of the latest heartbeat that the server has applied.
    pub(super) position: Option<Time>,
    /// Time of the server's clock.
    pub(super) clock: Option<Time>,
}

impl ProbeRow {
    /// Parses the three columns of the row: the read-only flag, the heartbeat and the clock. Both times are
    /// in milliseconds.
    pub(super) fn parse(payload: &[u8]) -> ProbeRow {
        let cells = parse_text_row(payload);
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
