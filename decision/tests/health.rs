//! Roles that members report, ejection of failing members and their return.
mod common;
use common::{DEDUPLICATED, MS, TestRouter, role, sent_attempts, settings};
use decision::{Action, Event, MemberId, Outcome};

#[test]
fn old_report_does_not_restore_demoted_primary() {
    let mut router = TestRouter::ready(settings(DEDUPLICATED));
    let (write, actions) = router.request(0, None);
    assert_eq!(sent_attempts(&actions).len(), 1);
    router.end_attempt_with_report(write, 0, MemberId(0), Outcome::NotEligible, role(false), None);
    router.now += 400 * MS;
    // An old report that still calls it the primary is not believed over the response.
    router.probe_ended(0, true, 350);
    assert!(sent_attempts(&router.request(1, None).1).is_empty());
    router.probe_ended(1, true, 0);
    let (_, actions) = router.request(1, None);
    assert!(sent_attempts(&actions).iter().all(|s| s.1 == MemberId(1)));
}

#[test]
fn unreachable_member_is_ejected_and_probed_later() {
    let mut router = TestRouter::ready(settings(DEDUPLICATED));
    let (read, actions) = router.request(4, None);
    let bad = sent_attempts(&actions)[0].1;
    let again = sent_attempts(&router.end_attempt(read, 0, bad, Outcome::ConnectFailed));
    assert!(again.len() == 1 && again[0].1 != bad);
    assert!((0..3).all(|_| sent_attempts(&router.request(4, None).1).iter().all(|s| s.1 != bad)));
    router.now += 2000 * MS;
    assert!(router.handle(Event::TimerExpired).contains(&Action::Probe { member: bad }));
}

#[test]
fn ejected_member_counts_as_unavailable_until_probed() {
    let mut router = TestRouter::ready(settings(DEDUPLICATED));
    let (read, actions) = router.request(4, None);
    let bad = sent_attempts(&actions)[0].1;
    while sent_attempts(&router.request(4, None).1)[0].1 != bad {}
    assert_eq!(router.inner.unavailable_member_count(), 0);
    router.end_attempt(read, 0, bad, Outcome::ConnectFailed);
    assert_eq!(router.inner.unavailable_member_count(), 1, "an attempt in flight there changes nothing");
    router.now += 3000 * MS;
    assert_eq!(router.inner.unavailable_member_count(), 1, "nobody has probed it yet");
    router.handle(Event::TimerExpired);
    router.probe_ended(bad.0, false, 0);
    assert_eq!(router.inner.unavailable_member_count(), 0);
}

#[test]
fn reset_is_probed_at_once_and_answer_ends_ejection() {
    let mut router = TestRouter::ready(settings(DEDUPLICATED));
    let reads_reach = |router: &mut TestRouter, bad: MemberId| {
        (0..4).any(|_| {
            let (id, actions) = router.request(4, None);
            let sent = sent_attempts(&actions);
            sent.iter().for_each(|s| _ = router.end_attempt(id, 0, s.1, Outcome::Ok));
            sent.iter().any(|s| s.1 == bad)
        })
    };
    let (read, actions) = router.request(4, None);
    let bad = sent_attempts(&actions)[0].1;
    let actions = router.end_attempt(read, 0, bad, Outcome::Reset);
    assert!(actions.contains(&Action::Probe { member: bad }));
    assert!(sent_attempts(&actions).iter().all(|s| s.1 != bad));
    assert!(!reads_reach(&mut router, bad), "not before it has answered");
    router.probe_ended(bad.0, false, 0);
    // Neither ejected any longer nor treated as one that has just started.
    assert!((0..10).filter(|_| reads_reach(&mut router, bad)).count() >= 8);
}

#[test]
fn errors_of_request_eject_nobody_errors_of_member_do() {
    let mut router = TestRouter::ready(settings(DEDUPLICATED));
    let attempts_until_served = |router: &mut TestRouter, bad: &dyn Fn(MemberId) -> bool| {
        // Long enough for failed attempts to stop counting as in flight, not for an ejection to end.
        router.now += 300 * MS;
        let (id, actions) = router.request(4, None);
        let mut next = sent_attempts(&actions);
        for attempt in 0.. {
            let Some((_, member)) = next.first().copied() else { return attempt };
            router.now += MS;
            let outcome = if bad(member) { Outcome::Error } else { Outcome::Ok };
            next = sent_attempts(&router.end_attempt(id, attempt, member, outcome));
        }
        0
    };
    // A bad request is tried at one other member, and that is the end of it.
    assert!((0..10).all(|_| attempts_until_served(&mut router, &|_| true) == 2));
    router.now += 300 * MS;
    let used: Vec<MemberId> =
        (0..2).flat_map(|_| sent_attempts(&router.request(4, None).1)).map(|s| s.1).collect();
    assert!(used.contains(&MemberId(1)) && used.contains(&MemberId(2)));
    let mut router = TestRouter::ready(settings(DEDUPLICATED));
    assert!((0..6).any(|_| attempts_until_served(&mut router, &|m| m == MemberId(1)) == 2));
    router.now += 300 * MS;
    let used: Vec<MemberId> =
        (0..2).flat_map(|_| sent_attempts(&router.request(4, None).1)).map(|s| s.1).collect();
    assert!(!used.is_empty() && !used.contains(&MemberId(1)), "{used:?}");
}

#[test]
fn late_member_is_passed_over_under_low_traffic() {
    let mut router = TestRouter::ready(settings(DEDUPLICATED));
    let (id, actions) = router.request(4, None);
    let slow = sent_attempts(&actions)[0].1;
    router.now += 350 * MS;
    router.end_attempt(id, 0, slow, Outcome::Ok);
    for _ in 0..10 {
        router.now += 200 * MS;
        let (id, actions) = router.request(4, None);
        let member = sent_attempts(&actions)[0].1;
        assert_ne!(member, slow);
        router.now += 5 * MS;
        router.end_attempt(id, 0, member, Outcome::Ok);
    }
}
