//! Recorded latencies.
use simulator::results::LatencyRecorder;

#[test]
fn long_latencies_are_recorded_without_clipping() {
    let mut recorder = LatencyRecorder::new();
    (1..=1000).for_each(|n| recorder.record(n * 1000));
    let latency = recorder.latency();
    let near = |a: u64, b: u64| a.abs_diff(b) <= b / 500;
    assert!(
        near(latency.p50, 500_000) && near(latency.p99, 990_000) && near(latency.max, 1_000_000),
        "{latency:?}"
    );
}
