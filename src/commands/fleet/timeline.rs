//! The table that `fleet audit` prints: which router acted on which version of the fleet document, and the
//! gaps.
use audit::timeline::{GapKind, Timeline};
use chrono::DateTime;

/// Prints a timeline as a table, followed by the gaps.
pub(super) fn print(timeline: &Timeline) {
    println!(
        "{:<24} {:>9} {:>9} {:<8} {:<23} {:<23} {:>12}",
        "router", "version", "members", "state", "from", "until", "epoch"
    );
    for interval in &timeline.intervals {
        println!(
            "{:<24} {:>9} {:>9} {:<8} {:<23} {:<23} {:>12}",
            interval.router,
            interval.version,
            interval.members_version,
            interval.kind.as_str(),
            format_time(interval.since),
            format_end(interval.until),
            interval.epoch
        );
    }
    println!("gaps: {}", timeline.gaps.len());
    for gap in &timeline.gaps {
        println!("{} to {}: {}", format_time(gap.since), format_end(gap.until), describe(&gap.kind));
    }
}

/// Returns a description of a gap's kind.
fn describe(gap: &GapKind) -> String {
    match gap {
        GapKind::ConcurrentVersions(versions) => {
            let versions: Vec<String> = versions.iter().map(u64::to_string).collect();
            format!("two versions at once: {}", versions.join(", "))
        }
        GapKind::OutdatedVersion(router, version) => {
            format!("{router} acts on version {version}, which is not the current one")
        }
        GapKind::FencedOut(router, version) => format!("{router} is shut out with version {version}"),
        GapKind::Silent(router) => format!("{router} is silent"),
        GapKind::RecordStopped => "no record is written: see that a node leads and has [fleet.audit]".into(),
    }
}

/// Formats the end of an interval or a gap, in microseconds of Unix time; `None` means that it has not ended.
fn format_end(until: Option<i64>) -> String {
    until.map_or_else(|| "now".into(), format_time)
}

/// Formats a Unix time in microseconds as date and time in UTC, or as a plain number if it is outside the
/// calendar's range.
pub fn format_time(unix_microseconds: i64) -> String {
    match DateTime::from_timestamp_micros(unix_microseconds) {
        Some(time) => time.format("%Y-%m-%dT%H:%M:%S%.3f").to_string(),
        None => unix_microseconds.to_string(),
    }
}
