//! Tests the number of routers by which a router's capacity share is divided, as routers come up and go down.
use membership::live_router_count::{Action, Event, LiveRouterCount, OtherRouters, Settings};
use std::time::Duration;

const SETTLE_TIME: Duration = Duration::from_secs(5);

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Runs the state machine with the events at the given seconds and with the timers that it sets. Returns each
/// count with the second at which it was set.
fn run_events(settings: Settings, events: Vec<(f64, Event)>, end: f64) -> Vec<(f64, u32)> {
    let mut machine = LiveRouterCount::new(Duration::ZERO, settings);
    let (mut timer, mut counts) = (None, Vec::new());
    let mut events = events.into_iter().peekable();
    loop {
        let next = events.peek().map(|(at, _)| seconds(*at));
        let (now, event) = match (timer, next) {
            (Some(due), next) if next.is_none_or(|next| due < next) => (due, Event::Timer),
            (_, Some(next)) => (next, events.next().expect("an event was peeked").1),
            _ => return counts,
        };
        if now > seconds(end) {
            return counts;
        }
        if event == Event::Timer {
            timer = None;
        }
        let mut actions = Vec::new();
        machine.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::SetCount(count) => counts.push((now.as_secs_f64(), count)),
                Action::SetTimer(at) => timer = Some(at),
            }
        }
    }
}

fn settings(fleet_size: u32, min_count: u32) -> Settings {
    Settings { fleet_size, min_count, settle_time: SETTLE_TIME, expects_others: true }
}

/// A snapshot with this many live routers, including this one.
fn snapshot_of(count: usize) -> Event {
    Event::Snapshot((1..count).map(name).collect())
}

fn name(router: usize) -> String {
    format!("r{router}")
}

#[test]
fn new_router_counts_immediately_and_down_router_until_settled() {
    let events = vec![
        (0.0, snapshot_of(4)),
        (10.0, Event::Up(name(4))),
        (20.0, Event::Down(name(1))),
        (21.0, Event::Down(name(2))),
    ];
    assert_eq!(run_events(settings(4, 1), events, 60.0), [(0.0, 4), (10.0, 5), (25.0, 4), (26.0, 3)]);
}

#[test]
fn flapping_router_never_lowers_count() {
    let mut events = vec![(0.0, snapshot_of(4))];
    for flap in 0..10 {
        events.push((10.0 + 6.0 * f64::from(flap), Event::Down(name(1))));
        events.push((13.0 + 6.0 * f64::from(flap), Event::Up(name(1))));
    }
    assert_eq!(run_events(settings(4, 1), events, 100.0), [(0.0, 4)]);
}

#[test]
fn snapshot_counts_missing_routers_as_down() {
    let events = vec![(0.0, snapshot_of(4)), (10.0, snapshot_of(2))];
    assert_eq!(run_events(settings(4, 1), events, 60.0), [(0.0, 4), (15.0, 2)]);
}

#[test]
fn count_never_falls_below_minimum() {
    let events = vec![(0.0, snapshot_of(12)), (10.0, snapshot_of(2))];
    assert_eq!(run_events(settings(12, 6), events, 60.0), [(0.0, 12), (15.0, 6)]);
}

#[test]
fn whole_fleet_counts_until_others_are_discovered_and_settled() {
    let events = vec![(0.0, snapshot_of(1)), (30.0, Event::Up(name(1))), (31.0, Event::Up(name(2)))];
    assert_eq!(run_events(settings(12, 1), events, 60.0), [(0.0, 12), (35.0, 3)]);
    let events = vec![(0.0, snapshot_of(1)), (1.0, snapshot_of(3))];
    assert_eq!(run_events(settings(12, 1), events, 60.0), [(0.0, 12), (6.0, 3)]);
    // The first router of a fleet expects no other routers.
    let first_router = Settings { expects_others: false, ..settings(12, 1) };
    assert_eq!(run_events(first_router, vec![(0.0, snapshot_of(1))], 60.0), [(0.0, 12), (5.0, 1)]);
}

#[test]
fn count_does_not_fall_once_changes_are_lost() {
    let events = vec![(0.0, snapshot_of(4)), (10.0, Event::Down(name(1))), (11.0, Event::ChangesLost)];
    assert_eq!(run_events(settings(4, 1), events, 60.0), [(0.0, 4)]);
    // A router whose count is below the fleet size returns to the fleet size.
    let above_share = vec![(0.0, snapshot_of(2)), (10.0, Event::ChangesLost)];
    assert_eq!(run_events(settings(4, 1), above_share, 60.0), [(0.0, 4), (5.0, 2), (10.0, 4)]);
}

#[test]
fn late_timer_extends_settle_time_of_down_routers() {
    let mut machine = LiveRouterCount::new(Duration::ZERO, settings(1, 1));
    let mut actions = Vec::new();
    machine.handle(seconds(0.0), snapshot_of(3), &mut actions);
    machine.handle(seconds(5.0), Event::Timer, &mut actions);
    machine.handle(seconds(10.0), Event::Down(name(1)), &mut actions);
    actions.clear();
    // The timer is due at 15 s, but the process handles it at 60 s and only then receives the return of the
    // router that went down.
    machine.handle(seconds(60.0), Event::Timer, &mut actions);
    machine.handle(seconds(61.0), Event::Up(name(1)), &mut actions);
    machine.handle(seconds(70.0), Event::Timer, &mut actions);
    assert!(!actions.iter().any(|action| matches!(action, Action::SetCount(_))), "{actions:?}");
    assert_eq!(machine.others(), OtherRouters { live: 2, settling: 0 });
}

#[test]
fn parts_of_any_split_use_at_most_live_routers_over_minimum() {
    let (size, min_count) = (12, 6);
    for part in 1..size {
        let last_count = |live| {
            let events = vec![(0.0, snapshot_of(size)), (10.0, snapshot_of(live))];
            run_events(settings(size as u32, min_count), events, 60.0).last().map_or(1, |(_, count)| *count)
        };
        let used = part as f64 / f64::from(last_count(part))
            + (size - part) as f64 / f64::from(last_count(size - part));
        assert!(
            used <= size as f64 / f64::from(min_count),
            "a split with {part} of {size} routers in one part uses {used} of the capacity"
        );
    }
}
