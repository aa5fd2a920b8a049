//! Reported roles, ejection of failing members and their return.
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
    // An older report that names the previous primary does not override the response.
    router.probe_ended(0, true, 350);
    assert!(sent_attempts(&router.request(1, None).1).is_empty());
    router.probe_ended(1, true, 0);
    let (_, actions) = router.request(1, None);
    assert!(sent_attempts(&actions).iter().all(|s| s.1 == MemberId(1)));
}

#[test]
fn unreachable_member_is_ejected_and_probed_after_ejection() {
    let mut router = TestRouter::ready(settings(DEDUPLICATED));
    let (read, actions) = router.request(4, None);
    let failing = sent_attempts(&actions)[0].1;
    let again = sent_attempts(&router.end_attempt(read, 0, failing, Outcome::ConnectFailed));
    assert!(again.len() == 1 && again[0].1 != failing);
    assert!((0..3).all(|_| sent_attempts(&router.request(4, None).1).iter().all(|s| s.1 != failing)));
    router.now += 2000 * MS;
    assert!(router.handle(Event::TimerExpired).contains(&Action::Probe { member: failing }));
}

#[test]
fn ejected_member_counts_as_unavailable_until_probed() {
    let mut router = TestRouter::ready(settings(DEDUPLICATED));
    let (read, actions) = router.request(4, None);
    let failing = sent_attempts(&actions)[0].1;
    while sent_attempts(&router.request(4, None).1)[0].1 != failing {}
    assert_eq!(router.inner.unavailable_member_count(), 0);
    router.end_attempt(read, 0, failing, Outcome::ConnectFailed);
    assert_eq!(
        router.inner.unavailable_member_count(),
        1,
        "must count as unavailable despite an attempt in flight"
    );
    router.now += 3000 * MS;
    assert_eq!(router.inner.unavailable_member_count(), 1, "must be unavailable until a probe succeeds");
    router.handle(Event::TimerExpired);
    router.probe_ended(failing.0, false, 0);
    assert_eq!(router.inner.unavailable_member_count(), 0);
}

#[test]
fn reset_is_probed_at_once_and_successful_probe_ends_ejection() {
    let mut router = TestRouter::ready(settings(DEDUPLICATED));
    let reads_reach = |router: &mut TestRouter, failing: MemberId| {
        (0..4).any(|_| {
            let (id, actions) = router.request(4, None);
            let sent = sent_attempts(&actions);
            sent.iter().for_each(|s| _ = router.end_attempt(id, 0, s.1, Outcome::Ok));
            sent.iter().any(|s| s.1 == failing)
        })
    };
    let (read, actions) = router.request(4, None);
    let failing = sent_attempts(&actions)[0].1;
    let actions = router.end_attempt(read, 0, failing, Outcome::Reset);
    assert!(actions.contains(&Action::Probe { member: failing }));
    assert!(sent_attempts(&actions).iter().all(|s| s.1 != failing));
    assert!(!reads_reach(&mut router, failing), "must be ejected until the probe succeeds");
    router.probe_ended(failing.0, false, 0);
    // The member is neither ejected nor treated as one that has just started.
    assert!((0..10).filter(|_| reads_reach(&mut router, failing)).count() >= 8);
}

#[test]
fn errors_of_faulty_request_eject_no_member_errors_of_faulty_member_do() {
    let mut router = TestRouter::ready(settings(DEDUPLICATED));
    let attempts_until_served = |router: &mut TestRouter, failing: &dyn Fn(MemberId) -> bool| {
        // The wait is long enough for failed attempts to no longer count as in flight, but too short for an
        // ejection to end.
        router.now += 300 * MS;
        let (id, actions) = router.request(4, None);
        let mut next = sent_attempts(&actions);
        for attempt in 0.. {
            let Some((_, member)) = next.first().copied() else { return attempt };
            router.now += MS;
            let outcome = if failing(member) { Outcome::Error } else { Outcome::Ok };
            next = sent_attempts(&router.end_attempt(id, attempt, member, outcome));
        }
        0
    };
    // A request that causes an error is retried once at another member and not again.
    assert!((0..10).all(|_| attempts_until_served(&mut router, &|_| true) == 2));
    router.now += 300 * MS;
    let selected: Vec<MemberId> =
        (0..2).flat_map(|_| sent_attempts(&router.request(4, None).1)).map(|s| s.1).collect();
    assert!(selected.contains(&MemberId(1)) && selected.contains(&MemberId(2)));
    let mut router = TestRouter::ready(settings(DEDUPLICATED));
    assert!((0..6).any(|_| attempts_until_served(&mut router, &|m| m == MemberId(1)) == 2));
    router.now += 300 * MS;
    let selected: Vec<MemberId> =
        (0..2).flat_map(|_| sent_attempts(&router.request(4, None).1)).map(|s| s.1).collect();
    assert!(!selected.is_empty() && !selected.contains(&MemberId(1)), "{selected:?}");
}

#[test]
fn slow_member_is_avoided_under_low_traffic() {
    let mut router = TestRouter::ready(settings(DEDUPLICATED));
    let (id, actions) = router.request(4, None);
    let slow_member = sent_attempts(&actions)[0].1;
    router.now += 350 * MS;
    router.end_attempt(id, 0, slow_member, Outcome::Ok);
    for _ in 0..10 {
        router.now += 200 * MS;
        let (id, actions) = router.request(4, None);
        let member = sent_attempts(&actions)[0].1;
        assert_ne!(member, slow_member);
        router.now += 5 * MS;
        router.end_attempt(id, 0, member, Outcome::Ok);
    }
}
