//! Which member of the registry is asked next, and when.
use decision::Time;
use registry::endpoints::{Endpoints, Settings};

fn settings() -> Settings {
    Settings {
        endpoints: 3,
        first_backoff: 100_000,
        max_backoff: 2_000_000,
        max_saved_attempts: 5.0,
        attempts_per_s: 2.0,
    }
}

#[test]
fn working_member_is_kept_and_failed_ones_are_left_in_turn() {
    let mut e = Endpoints::new(settings(), 7);
    let (first, wait) = e.next(Time(0));
    assert_eq!(wait, 0);
    e.worked(first);
    assert_eq!(e.next(Time(1)).0, first);
    e.failed(first, Time(2));
    let (second, wait) = e.next(Time(2));
    assert!(second != first && wait == 0);
    e.failed(second, Time(3));
    let (third, _) = e.next(Time(3));
    e.failed(third, Time(4));
    assert_eq!([first, second, third].iter().sum::<usize>(), 3, "each of them once");
    // All have failed: there is a backoff, no longer than the longest.
    let (_, wait) = e.next(Time(5));
    assert!((1..=2_000_000).contains(&wait));
}

#[test]
fn unreachable_registry_costs_no_more_attempts_than_the_budget() {
    let (mut e, mut now, mut attempts) = (Endpoints::new(settings(), 1), 0, 0);
    while now < 60_000_000 {
        let (endpoint, wait) = e.next(Time(now));
        now += wait;
        attempts += 1;
        e.failed(endpoint, Time(now));
        now += 100;
    }
    assert!(attempts <= 5 + 2 * 60 + 3, "{attempts}");
}
