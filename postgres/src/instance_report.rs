//! What an instance reports about itself: with each response in `ParameterStatus` messages, and in full as the value
//! that a probe asks for.
use routing::{MemberReport, Time};

/// How far a reported position may lie ahead of this host's clock, in microseconds.
const MAX_AHEAD_US: f64 = 1e6;

/// What an instance reported in the `ParameterStatus` messages of one response.
#[derive(Debug, Default)]
pub struct InstanceReport {
    /// Whether it takes writes.
    pub primary: Option<bool>,
    /// How far it has applied the log, on its own clock.
    pub position: Option<Time>,
    /// Its load report.
    pub load_report: MemberReport,
}

impl InstanceReport {
    /// Takes one parameter; unknown ones are ignored.
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

/// Parses a load report, `x0=1767225600.123,x1=1,...`: x0 is the position in seconds of Unix time, x1 says whether the
/// instance is the primary. `None` where any of it is malformed: the rest can't be trusted then.
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

/// A reported position in Unix microseconds. Positions only rise: one far ahead of the present would make its member
/// look up to date for good.
fn valid_position(micros: f64, now: Time) -> Option<Time> {
    (micros > 0.0 && micros <= now.0 as f64 + MAX_AHEAD_US).then_some(Time(micros.round() as i64))
}
