//! Golden tests of the counters by reason as exported at `GET /metrics`. Dashboards and alerts of operators
//! use each line, so names and texts must not change.
use prometheus::IntCounterVec;
use routing::observer::Invariant;
use routing::reasons::{CloseReason, EndReason, OUTCOMES, outcome_name};
use routing::{Denial, Metrics};

/// The metrics, recorded before the identifiers of permits and the observer were renamed. The lines are
/// sorted, because the order of the labels within a family is not fixed.
const EXPECTED: &str = include_str!("fixtures/reason_counters.txt");

/// Increments the counter of each label by a distinct value, starting at `first`.
fn count(family: &IntCounterVec, first: u64, labels: &[&str]) {
    for (value, label) in (first..).zip(labels) {
        family.with_label_values(&[*label]).inc_by(value);
    }
}

fn sorted_lines(text: &str) -> String {
    let mut lines: Vec<&str> = text.lines().collect();
    lines.sort_unstable();
    lines.iter().map(|line| format!("{line}\n")).collect()
}

#[test]
fn prometheus_text_of_reasons_matches_the_recorded_bytes() {
    let metrics = Metrics::new(&["order".into()]).unwrap();
    let reasons = &metrics.reasons;
    let without_attempt = [EndReason::GroupUnavailable, EndReason::PlacementDenied, EndReason::NotForwarded];
    let after_attempt = OUTCOMES.map(EndReason::AttemptOutcome);
    let ends: Vec<&str> = without_attempt.iter().chain(&after_attempt).map(|reason| reason.name()).collect();
    count(&reasons.rejected, 101, &ends);
    count(&reasons.failed, 201, &ends);
    count(&reasons.retried, 301, &OUTCOMES.map(outcome_name));
    count(
        &reasons.dropped,
        401,
        &[EndReason::ClientDisconnected, EndReason::ClientCancelled].map(EndReason::name),
    );
    count(&reasons.denied, 501, &Denial::ALL.map(Denial::name));
    count(&reasons.closed, 601, &CloseReason::ALL.map(CloseReason::name));
    count(&reasons.invariant_violations, 701, &Invariant::ALL.map(Invariant::name));
    let text = metrics.render_prometheus().unwrap();
    assert!(text.ends_with('\n'));
    assert_eq!(sorted_lines(&text), EXPECTED);
}

#[test]
fn prometheus_text_before_the_first_event_has_all_recorded_lines_at_zero() {
    let metrics = Metrics::new(&["order".into()]).unwrap();
    let text = sorted_lines(&metrics.render_prometheus().unwrap());
    let at_zero = |line: &str| match line.rsplit_once(' ') {
        Some((name, _)) if !line.starts_with('#') => format!("{name} 0\n"),
        _ => format!("{line}\n"),
    };
    assert_eq!(text, EXPECTED.lines().map(at_zero).collect::<String>());
}
