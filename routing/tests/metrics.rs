//! Golden tests of the metric text at the admin address. Tools of operators parse its names and layout, so
//! they must not change.
use routing::Metrics;

/// The metrics, recorded before identifiers were renamed. The lines are sorted, because the order of the
/// classes is not fixed.
const EXPECTED: &str = include_str!("fixtures/metrics.txt");

#[test]
fn metric_text_matches_the_recorded_bytes() {
    let metrics = Metrics::new(&["stock-read".into(), "order".into()]).unwrap();
    let mut value = 0;
    let mut next = || {
        value += 101;
        value
    };
    for class in &metrics.classes {
        class.served.inc_by(next());
        class.rejected.inc_by(next());
        class.failed.inc_by(next());
        class.attempts_sent.inc_by(next());
    }
    metrics.requests_in_progress.set(14);
    metrics.endpoints.set(5);
    metrics.unhealthy_endpoints.set(-2);
    let text = metrics.render_text();
    assert!(text.ends_with('\n'));
    let mut lines: Vec<&str> = text.lines().collect();
    lines.sort_unstable();
    let sorted: String = lines.iter().map(|line| format!("{line}\n")).collect();
    assert_eq!(sorted, EXPECTED);
}

#[test]
fn every_class_is_exported_from_the_start() {
    let metrics = Metrics::new(&["stock-read".into(), "order".into()]).unwrap();
    metrics.classes[1].served.inc_by(812);
    metrics.classes[0].attempts_sent.inc();
    metrics.requests_in_progress.set(14);
    let text = metrics.render_text();
    let mut lines: Vec<&str> = text.lines().collect();
    lines.sort_unstable();
    assert_eq!(
        lines,
        [
            "router.cluster_size=0",
            "router.cluster_unhealthy=0",
            "router.current=14",
            "router.transactions.order.answered=812",
            "router.transactions.order.deferred=0",
            "router.transactions.order.errored=0",
            "router.transactions.order.sends=0",
            "router.transactions.stock-read.answered=0",
            "router.transactions.stock-read.deferred=0",
            "router.transactions.stock-read.errored=0",
            "router.transactions.stock-read.sends=1",
        ]
    );
}

#[test]
fn metric_text_of_one_class_matches_the_recorded_bytes_in_order() {
    let metrics = Metrics::new(&["stock-read".into()]).unwrap();
    metrics.classes[0].served.inc_by(3);
    metrics.requests_in_progress.set(1);
    assert_eq!(metrics.render_text(), include_str!("fixtures/metrics_one_class.txt"));
}

#[test]
fn every_reason_is_exported_from_the_start() {
    let metrics = Metrics::new(&["order".into()]).unwrap();
    metrics.classes[0].served.inc_by(3);
    metrics.reasons.denied.with_label_values(&["client_left"]).inc();
    let text = metrics.render_prometheus().unwrap();
    for line in [
        "answered{class=\"order\"} 3",
        "damsonvale_denied_total{reason=\"client_left\"} 1",
        "damsonvale_denied_total{reason=\"unsafe_repeat\"} 0",
        "damsonvale_closed_total{reason=\"no_thread\"} 0",
        "damsonvale_invariant_violations_total{invariant=\"drain\"} 0",
        "damsonvale_retried_total{reason=\"reset\"} 0",
    ] {
        assert!(text.lines().any(|found| found == line), "{line} is missing in {text}");
    }
}
