//! What stated times mean after the wall clock was stepped.
use decision::Time;
use routing::wall_clock::{ClockOffsets, ReportingClock};

const SECOND: i64 = 1_000_000;
const HOUR: i64 = 3600 * SECOND;

/// Offsets after a step at 100 s, and the router's time some seconds later.
fn stepped(step: i64) -> ClockOffsets {
    let mut offsets = ClockOffsets::default();
    assert_eq!(offsets.observe(Time(99 * SECOND), Time(99 * SECOND)), None);
    assert_eq!(offsets.observe(Time(100 * SECOND), Time(100 * SECOND + step)), Some(step));
    assert_eq!(
        offsets.observe(Time(101 * SECOND), Time(101 * SECOND + step)),
        None,
        "a step is noticed once"
    );
    offsets
}

#[test]
fn stated_times_are_unchanged_without_a_step() {
    let offsets = ClockOffsets::default();
    let (now, reported) = (Time(100 * SECOND), Time(90 * SECOND));
    assert_eq!(offsets.start(now, reported), reported);
    assert_eq!(offsets.commit(now, reported), reported);
    assert_eq!(offsets.position(now, reported, ReportingClock::UnknownClock), Some(reported));
    assert_eq!(offsets.start(now, Time(5 * HOUR)), now, "nothing starts in the future");
    assert_eq!(
        offsets.position(now, Time(102 * SECOND), ReportingClock::UnknownClock),
        None,
        "nobody is ahead of the present"
    );
}

#[test]
fn small_differences_are_no_steps() {
    let mut offsets = ClockOffsets::default();
    assert_eq!(offsets.observe(Time(SECOND), Time(SECOND + 19_999)), None);
    assert_eq!(offsets.observe(Time(SECOND), Time(SECOND - 19_999)), None);
}

#[test]
fn starts_are_not_converted_to_earlier_times() {
    let now = Time(103 * SECOND);
    for step in [-HOUR, -5 * SECOND, 5 * SECOND, HOUR] {
        let offsets = stepped(step);
        // Started at 102 s, as the clock shows since the step.
        assert_eq!(offsets.start(now, Time(102 * SECOND + step)), Time(102 * SECOND), "{step}");
        // Started at 98 s, before the step: never taken for earlier.
        let start = offsets.start(now, Time(98 * SECOND));
        assert!((Time(98 * SECOND)..=now).contains(&start), "{step}: {start:?}");
    }
}

#[test]
fn commits_are_not_converted_to_earlier_times() {
    let now = Time(103 * SECOND);
    for step in [-HOUR, -5 * SECOND, 5 * SECOND, HOUR] {
        let offsets = stepped(step);
        for (made_at, reported) in [(98 * SECOND, 98 * SECOND), (102 * SECOND, 102 * SECOND + step)] {
            let commit = offsets.commit(now, Time(reported));
            assert!(commit >= Time(made_at) && commit <= Time(now.0 + SECOND), "{step}: {commit:?}");
        }
    }
    // What lies ahead of every clock can still be reckoned with.
    assert!(ClockOffsets::default().commit(now, Time(i64::MAX)) <= Time(now.0 + 24 * HOUR));
}

#[test]
fn positions_are_not_converted_to_later_times() {
    for step in [-HOUR, -5 * SECOND, 5 * SECOND, HOUR] {
        let offsets = stepped(step);
        for now in [Time(103 * SECOND), Time(108 * SECOND)] {
            // A replica that stands at 95 s, which it read off the clock before the step.
            let before = offsets.position(now, Time(95 * SECOND), ReportingClock::UnknownClock);
            assert!(before.is_none_or(|position| position <= Time(95 * SECOND)), "{step}: {before:?}");
            // One that stands at 102 s, and has shown that it goes by the clock as it is.
            assert_eq!(
                offsets.position(now, Time(102 * SECOND + step), ReportingClock::CurrentClock),
                Some(Time(102 * SECOND)),
                "{step}"
            );
        }
    }
}

#[test]
fn replica_positions_are_current_soon_after_a_step() {
    for step in [-HOUR, -5 * SECOND, 5 * SECOND, HOUR] {
        let offsets = stepped(step);
        let now = Time(111 * SECOND);
        assert_eq!(
            offsets.position(now, Time(now.0 + step - 1000), ReportingClock::UnknownClock),
            Some(Time(now.0 - 1000)),
            "{step}"
        );
    }
}

#[test]
fn step_back_to_previous_offset_is_detected() {
    let mut offsets = stepped(HOUR);
    assert_eq!(offsets.observe(Time(110 * SECOND), Time(110 * SECOND)), Some(-HOUR));
    let now = Time(120 * SECOND + SECOND);
    assert_eq!(
        offsets.position(now, Time(120 * SECOND), ReportingClock::UnknownClock),
        Some(Time(120 * SECOND))
    );
    assert_eq!(offsets.start(now, Time(120 * SECOND)), Time(120 * SECOND));
    // Started between the steps.
    assert_eq!(offsets.start(now, Time(105 * SECOND + HOUR)), Time(105 * SECOND));
}
