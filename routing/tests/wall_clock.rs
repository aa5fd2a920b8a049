//! Tests of the conversion of reported times after the wall clock was stepped.
use decision::Time;
use routing::wall_clock::{ClockOffsets, ReportingClock};

const SECOND: i64 = 1_000_000;
const HOUR: i64 = 3600 * SECOND;

/// Returns offsets after a step at 100 s of router time. The last observation is at 101 s.
fn stepped(step: i64) -> ClockOffsets {
    let mut offsets = ClockOffsets::default();
    assert_eq!(offsets.observe(Time(99 * SECOND), Time(99 * SECOND)), None);
    assert_eq!(offsets.observe(Time(100 * SECOND), Time(100 * SECOND + step)), Some(step));
    assert_eq!(
        offsets.observe(Time(101 * SECOND), Time(101 * SECOND + step)),
        None,
        "the same step was detected twice"
    );
    offsets
}

#[test]
fn reported_times_are_unchanged_without_a_step() {
    let offsets = ClockOffsets::default();
    let (now, reported) = (Time(100 * SECOND), Time(90 * SECOND));
    assert_eq!(offsets.start(now, reported), reported);
    assert_eq!(offsets.commit(now, reported), reported);
    assert_eq!(offsets.position(now, reported, ReportingClock::UnknownClock), Some(reported));
    assert_eq!(offsets.start(now, Time(5 * HOUR)), now, "the start is after the present");
    assert_eq!(
        offsets.position(now, Time(102 * SECOND), ReportingClock::UnknownClock),
        None,
        "the position is ahead of the present"
    );
}

#[test]
fn differences_below_minimum_step_are_ignored() {
    let mut offsets = ClockOffsets::default();
    assert_eq!(offsets.observe(Time(SECOND), Time(SECOND + 19_999)), None);
    assert_eq!(offsets.observe(Time(SECOND), Time(SECOND - 19_999)), None);
}

#[test]
fn starts_are_not_converted_to_earlier_times() {
    let now = Time(103 * SECOND);
    for step in [-HOUR, -5 * SECOND, 5 * SECOND, HOUR] {
        let offsets = stepped(step);
        // A server that started at 102 s, after the step, and reported by the stepped clock.
        assert_eq!(offsets.start(now, Time(102 * SECOND + step)), Time(102 * SECOND), "{step}");
        // A server that started at 98 s, before the step. The conversion must not be earlier than that.
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
    // A commit that is ahead of the present under every offset is clamped, so that later calculations do not
    // overflow.
    assert!(ClockOffsets::default().commit(now, Time(i64::MAX)) <= Time(now.0 + 24 * HOUR));
}

#[test]
fn positions_are_not_converted_to_later_times() {
    for step in [-HOUR, -5 * SECOND, 5 * SECOND, HOUR] {
        let offsets = stepped(step);
        for now in [Time(103 * SECOND), Time(108 * SECOND)] {
            // A replica at position 95 s, which was read from the clock before the step.
            let before = offsets.position(now, Time(95 * SECOND), ReportingClock::UnknownClock);
            assert!(before.is_none_or(|position| position <= Time(95 * SECOND)), "{step}: {before:?}");
            // A replica at position 102 s that is known to use the current clock.
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
    // A server that started between the two steps.
    assert_eq!(offsets.start(now, Time(105 * SECOND + HOUR)), Time(105 * SECOND));
}
