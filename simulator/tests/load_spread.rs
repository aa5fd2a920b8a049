//! Tests of the load measurements: imbalance by group and fleet, idle time, and the random baseline.
use decision::Time;
use simulator::random_baseline::{WindowShape, sample_imbalance};
use simulator::spread_meter::SpreadMeter;

fn at(seconds: f64) -> Time {
    Time(5_000_000 + (seconds * 1e6) as i64)
}

fn meter(groups: &[usize], seconds: usize) -> SpreadMeter {
    let mut meter = SpreadMeter::new(at(0.0), seconds, groups);
    (0..groups.len()).for_each(|node| meter.set_in_service(at(0.0), node, true, 0));
    meter
}

fn start_requests(meter: &mut SpreadMeter, now: f64, node: usize, count: usize) {
    (0..count).for_each(|_| meter.request_started(at(now), node));
}

#[test]
fn imbalance_is_maximum_over_mean_within_group_and_fleet() {
    let mut meter = SpreadMeter::new(at(0.0), 10, &[0, 0, 1, 1, 1]);
    // The last node is a primary: it starts requests, but is never in service as a replica.
    (0..4).for_each(|node| meter.set_in_service(at(-1.0), node, true, 0));
    meter.set_in_service(at(-1.0), 4, false, 0);
    for (node, count) in [(0, 30), (1, 10), (2, 20), (3, 20), (4, 50)] {
        start_requests(&mut meter, 0.5, node, count);
    }
    let spread = meter.finish(at(1.0), &[]);
    // The mean is 20 requests per replica in each group and in the whole fleet. The busiest replica of the
    // first group and of the fleet has 30 requests, the busiest replica of the second group has 20.
    assert!((spread.group_10s.mean - 1.25).abs() < 1e-9 && spread.group_10s.worst == 1.5, "{spread:?}");
    assert!(spread.fleet_10s.windows == 1 && spread.fleet_10s.worst == 1.5, "{spread:?}");
    // Expected for 40 requests on 2 replicas: 1 + sqrt(2 / (pi * 40)).
    assert!((spread.group_10s.random_mean - 1.126).abs() < 0.03, "{spread:?}");
    assert!(spread.after_fault_1s.windows == 0 && spread.idle_periods == 0, "{spread:?}");
}

#[test]
fn replicas_out_of_service_are_excluded_and_windows_after_faults_are_measured_separately() {
    let mut meter = meter(&[0, 0, 0], 12);
    meter.set_in_service(at(0.5), 2, false, 0);
    meter.set_in_service(at(1.5), 2, true, 0);
    start_requests(&mut meter, 1.2, 0, 4);
    start_requests(&mut meter, 2.2, 2, 2);
    start_requests(&mut meter, 2.2, 1, 4);
    let spread = meter.finish(at(12.0), &[1.5]);
    // The window at second 1 has two replicas in service, with 4 and 0 requests; the window at second 2 has
    // three replicas, with 0, 4 and 2 requests.
    assert!(spread.group_1s.windows == 2 && (spread.group_1s.mean - 2.0).abs() < 1e-9, "{spread:?}");
    assert!(
        spread.after_fault_1s.windows == 1 && (spread.after_fault_1s.worst - 2.0).abs() < 1e-9,
        "{spread:?}"
    );
    // A long window counts only the replicas that were in service during all of it.
    assert!(spread.after_fault_10s.windows == 1 && spread.after_fault_10s.worst == 2.0, "{spread:?}");
    assert_eq!((spread.group_10s.windows, spread.group_10s.worst), (1, 1.0));
}

#[test]
fn replica_is_idle_only_while_its_group_has_work() {
    let mut meter = meter(&[0, 0, 1], 10);
    for second in 0..8 {
        if second == 3 {
            meter.request_started(at(3.0), 1);
        }
        meter.request_started(at(f64::from(second)), 0);
        meter.request_ended(at(f64::from(second) + 0.5), 0);
    }
    meter.request_ended(at(9.0), 1);
    // Replica 1 was idle for three seconds while its group had work. Replica 2's group had no work, and a
    // long request is not idle time.
    let spread = meter.finish(at(10.0), &[]);
    assert_eq!((spread.idle_periods, spread.longest_idle_s), (1, 3.0));
    assert!((spread.idle_share - 0.1).abs() < 1e-9, "{spread:?}");
}

#[test]
fn random_baseline_is_close_to_exact_values() {
    let mean = |starts, replicas| {
        let samples = sample_imbalance(WindowShape { starts, replicas });
        samples.iter().sum::<f64>() / samples.len() as f64
    };
    // Expected for 2 requests on 2 replicas: 1.5; for many on 2 replicas: 1 + sqrt(2 / (pi * requests)).
    assert!((mean(2, 2) - 1.5).abs() < 0.2);
    assert!((mean(10_000, 2) - 1.008).abs() < 0.002);
    assert!((mean(300, 2) - 1.046).abs() < 0.015);
}
