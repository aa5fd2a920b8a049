//! Tests the bounds on server clock offsets and on commit times.
use decision::Time;
use sessions::clocks::{ClockOffset, DRIFT_PER_S, RESOLUTION, ServerClocks};
use std::net::SocketAddr;

const S: i64 = 1_000_000;

#[test]
fn samples_bound_offset_from_both_sides_and_narrow_it() {
    // The server's clock is 2 s ahead. The first health check took 40 ms, the second 2 ms.
    let slow = ClockOffset::sample(Time(10 * S), Time(10 * S + 40_000), Time(12 * S + 20_000));
    assert!(slow.low <= 2 * S && 2 * S <= slow.upper_bound(Time(10 * S + 40_000)));
    let fast = ClockOffset::sample(Time(11 * S), Time(11 * S + 2000), Time(13 * S + 1000));
    let narrowed = slow.narrowed_by(fast);
    assert!(narrowed.upper_bound(Time(11 * S + 2000)) - narrowed.low <= 2000 + RESOLUTION + 2 * DRIFT_PER_S);
    // A later, slow sample only widens the bounds by the drift.
    let after =
        narrowed.narrowed_by(ClockOffset::sample(Time(12 * S), Time(12 * S + 90_000), Time(14 * S + 45_000)));
    assert!(after.upper_bound(Time(12 * S + 90_000)) <= narrowed.high + 3 * DRIFT_PER_S);
}

#[test]
fn adjusted_clock_replaces_old_bounds() {
    let before = ClockOffset::sample(Time(10 * S), Time(10 * S + 1000), Time(12 * S));
    let set = ClockOffset::sample(Time(11 * S), Time(11 * S + 1000), Time(11 * S));
    assert_eq!(before.narrowed_by(set), set);
}

#[test]
fn upper_bounds_are_not_before_any_commit() {
    let at: SocketAddr = ([127, 0, 0, 1], 1).into();
    let other: SocketAddr = ([127, 0, 0, 1], 2).into();
    let clocks = ServerClocks::new(true, 50_000);
    assert_eq!(clocks.latest_commit_bound(Time(10 * S)), None);
    clocks.add_sample(at, ClockOffset::sample(Time(10 * S), Time(10 * S + 1000), Time(12 * S)));
    // A commit at this time has a timestamp of 12 s by the server's clock.
    assert!(clocks.commit_upper_bound(at, Time(10 * S + 1000)) >= Time(12 * S + 1000));
    assert!(clocks.commit_upper_bound(at, Time(10 * S + 1000)) <= Time(12 * S + 3000));
    assert!(clocks.latest_commit_bound(Time(10 * S + 1000)) >= Some(Time(12 * S + 50_000)));
    // The clock of a server without a sample may differ from those of the sampled servers by the configured
    // skew.
    assert!(clocks.commit_upper_bound(other, Time(10 * S + 1000)) >= Time(12 * S + 50_000));
    // If health checks do not return the server's clock, only the skew is added.
    assert_eq!(ServerClocks::new(false, 50_000).latest_commit_bound(Time(S)), Some(Time(S + 50_000)));
}
