//! The counters by reason as `GET /metrics` prints them: operators' dashboards and alerts read each line, so none may
//! move.
use prometheus::IntCounterVec;
use routing::observer::Invariant;
use routing::reasons::{CloseReason, EndReason, OUTCOMES, outcome_name};
use routing::{Denial, Metrics};

/// Written by the program before the names of its permits and its observer were revised; lines in sorted order, as the
/// labels of a family come in no fixed order.
const EXPECTED: &str = include_str!("fixtures/reason_counters.txt");

/// Gives each label of a family a value of its own, from `first` on.
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
    let after_attempt = OUTCOMES.map(EndReason::After);
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
fn prometheus_text_before_the_first_event_has_the_recorded_lines_at_zero() {
    let metrics = Metrics::new(&["order".into()]).unwrap();
    let text = sorted_lines(&metrics.render_prometheus().unwrap());
    let at_zero = |line: &str| match line.rsplit_once(' ') {
        Some((name, _)) if !line.starts_with('#') => format!("{name} 0\n"),
        _ => format!("{line}\n"),
    };
    assert_eq!(text, EXPECTED.lines().map(at_zero).collect::<String>());
}
