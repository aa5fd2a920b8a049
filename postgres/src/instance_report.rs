//! What an instance reports about itself: some values with each response, in `ParameterStatus` messages, and
//! a full load report as the response to a probe.
use routing::{MemberReport, Time};

/// How far a reported position may be ahead of this host's clock, in microseconds.
const MAX_AHEAD_US: f64 = 1e6;

/// What an instance reported in the `ParameterStatus` messages of one response.
#[derive(Debug, Default)]
pub struct InstanceReport {
    /// Whether the instance accepts writes.
    pub primary: Option<bool>,
    /// The instance's replication position, as a time on its own clock.
    pub position: Option<Time>,
    /// The instance's load report.
    pub load_report: MemberReport,
}

impl InstanceReport {
    /// Updates the report from one parameter; unknown parameters are ignored.
    pub fn set_parameter(&mut self, name: &str, value: &str, now: Time) {
        match (name, value) {
            ("mode", "read-write") => self.primary = Some(true),
            ("mode", "read-only") => self.primary = Some(false),
            ("wal_time", milliseconds) => {
                let milliseconds = milliseconds.parse().ok();
                self.position = milliseconds.and_then(|ms: f64| valid_position(ms * 1000.0, now));
            }
            ("stats", fields) => self.load_report = parse_load_report(fields, now).unwrap_or_default(),
            _ => {}
        }
    }
}

/// Parses a load report such as `x0=1767225600.123,x1=1,...`: x0 is the position as Unix time in seconds, x1
/// is 1 if the instance is the primary and 0 if not. Returns `None` if any part is malformed, because the
/// rest cannot be trusted then.
pub fn parse_load_report(fields: &str, now: Time) -> Option<MemberReport> {
    let mut report = MemberReport::default();
    for field in fields.split(',') {
        let (name, value) = field.split_once('=')?;
        let value: f64 = value.trim().parse().ok().filter(|value: &f64| value.is_finite())?;
        match name.trim() {
            "x0" => report.position = Some(valid_position(value * 1e6, now)?),
            "x1" if value == 0.0 || value == 1.0 => report.primary = Some(value == 1.0),
            "x1" | "" => return None,
            _ => {}
        }
    }
    Some(report)
}

/// Returns a reported position, which is Unix time in microseconds, unless it is invalid. Positions only
/// increase, so one far in the future would make its member look up to date forever.
fn valid_position(micros: f64, now: Time) -> Option<Time> {
    (micros > 0.0 && micros <= now.0 as f64 + MAX_AHEAD_US).then_some(Time(micros.round() as i64))
}
