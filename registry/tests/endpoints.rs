//! Selection of the registry member for the next connection attempt, and the delay before it.
use decision::Time;
use registry::endpoints::{MemberSelector, Settings};

fn settings() -> Settings {
    Settings {
        endpoints: 3,
        first_backoff: 100_000,
        max_backoff: 2_000_000,
        max_attempt_tokens: 5.0,
        attempts_per_s: 2.0,
    }
}

#[test]
fn responding_member_stays_selected_and_failed_members_are_tried_in_turn() {
    let mut selector = MemberSelector::new(settings(), 7);
    let (first, wait) = selector.next(Time(0));
    assert_eq!(wait, 0);
    selector.record_success(first);
    assert_eq!(selector.next(Time(1)).0, first);
    selector.record_failure(first, Time(2));
    let (second, wait) = selector.next(Time(2));
    assert!(second != first && wait == 0);
    selector.record_failure(second, Time(3));
    let (third, _) = selector.next(Time(3));
    selector.record_failure(third, Time(4));
    assert_eq!([first, second, third].iter().sum::<usize>(), 3, "each member is selected once");
    // All members have failed: the next attempt is delayed by at most the maximum backoff.
    let (_, wait) = selector.next(Time(5));
    assert!((1..=2_000_000).contains(&wait));
}

#[test]
fn attempts_to_unreachable_registry_stay_within_the_budget() {
    let (mut selector, mut now, mut attempts) = (MemberSelector::new(settings(), 1), 0, 0);
    while now < 60_000_000 {
        let (endpoint, wait) = selector.next(Time(now));
        now += wait;
        attempts += 1;
        selector.record_failure(endpoint, Time(now));
        now += 100;
    }
    assert!(attempts <= 5 + 2 * 60 + 3, "{attempts}");
}
