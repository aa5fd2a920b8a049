//! Tests of the latency recorder.
use simulator::results::LatencyRecorder;

#[test]
fn latencies_up_to_one_second_are_not_clipped() {
    let mut recorder = LatencyRecorder::new();
    (1..=1000).for_each(|millisecond| recorder.record(millisecond * 1000));
    let latency = recorder.latency();
    let is_near = |found: u64, expected: u64| found.abs_diff(expected) <= expected / 500;
    assert!(
        is_near(latency.p50, 500_000) && is_near(latency.p99, 990_000) && is_near(latency.max, 1_000_000),
        "{latency:?}"
    );
}
