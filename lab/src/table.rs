//! Text tables of results, with a line for each case, class or difference.
use crate::case::Case;
use simulator::Results;
use simulator::results::Counts;
use std::fmt::Write;

fn percent(part: u64, whole: u64) -> f64 {
    100.0 * part as f64 / whole.max(1) as f64
}

fn attempts_per_request(counts: &Counts) -> f64 {
    counts.attempts as f64 / counts.offered.max(1) as f64
}

/// Formats a table with a line for each case.
pub fn summary(cases: &[Case]) -> String {
    let mut text = format!(
        "{:<34}{:>10}{:>9}{:>8}{:>9}{:>8}{:>9}{:>9}{:>9}{:>9}{:>8}\n",
        "case",
        "offered",
        "in time",
        "late",
        "refused",
        "failed",
        "worst s",
        "att/req",
        "primary",
        "crossing",
        "rules"
    );
    for case in cases {
        let total = case.results.total();
        _ = writeln!(
            text,
            "{:<34}{:>10}{:>8.2}%{:>7.2}%{:>8.2}%{:>7.2}%{:>8.1}%{:>9.3}{:>8.1}%{:>8.1}%{:>8}",
            case.name,
            total.offered,
            percent(total.in_time, total.offered),
            percent(total.late, total.offered),
            percent(total.rejected, total.offered),
            percent(total.failed, total.offered),
            100.0 * case.results.worst_second(),
            attempts_per_request(&total),
            percent(total.primary_attempts, total.attempts),
            percent(total.cross_zone_attempts, total.attempts),
            if case.violates_rules() { "BROKEN" } else { "kept" }
        );
    }
    text
}

/// Formats a table with a line for each class.
pub fn classes(results: &Results) -> String {
    let mut text = format!(
        "{:<20}{:>10}{:>9}{:>8}{:>9}{:>8}{:>10}{:>10}{:>10}\n",
        "class", "offered", "in time", "late", "refused", "failed", "p50 ms", "p99 ms", "max ms"
    );
    let milliseconds = |microseconds: u64| microseconds as f64 / 1000.0;
    for (name, class) in &results.classes {
        let (counts, latency) = (&class.counts, &class.latency);
        _ = writeln!(
            text,
            "{name:<20}{:>10}{:>8.2}%{:>7.2}%{:>8.2}%{:>7.2}%{:>10.1}{:>10.1}{:>10.1}",
            counts.offered,
            percent(counts.in_time, counts.offered),
            percent(counts.late, counts.offered),
            percent(counts.rejected, counts.offered),
            percent(counts.failed, counts.offered),
            milliseconds(latency.p50),
            milliseconds(latency.p99),
            milliseconds(latency.max)
        );
    }
    text
}

/// Formats a table with a line for each case that is in `after`: its new values and their changes; cases that
/// are only in one of the two results are marked.
pub fn comparison(before: &[Case], after: &[Case]) -> String {
    let mut text =
        format!("{:<34}{:>18}{:>18}{:>18}\n", "case", "in time", "worst second", "attempts/request");
    for case in after {
        match before.iter().find(|other| other.name == case.name) {
            Some(earlier) => text += &comparison_line(earlier, case),
            None => _ = writeln!(text, "{:<34}{:>18}", case.name, "new"),
        }
    }
    for case in before.iter().filter(|case| !after.iter().any(|other| other.name == case.name)) {
        _ = writeln!(text, "{:<34}{:>18}", case.name, "gone");
    }
    text
}

fn comparison_line(before: &Case, after: &Case) -> String {
    let mut line = format!("{:<34}", after.name);
    for (before, after) in compared_metrics(before).into_iter().zip(compared_metrics(after)) {
        _ = write!(line, "{after:>9.2} {:>+8.2}", after - before);
    }
    line += if after.violates_rules() { "  RULES BROKEN\n" } else { "\n" };
    line
}

/// Returns the goodput and the goodput of the worst second in percent, and the attempts per request.
fn compared_metrics(case: &Case) -> [f64; 3] {
    let total = case.results.total();
    [100.0 * total.goodput(), 100.0 * case.results.worst_second(), attempts_per_request(&total)]
}
