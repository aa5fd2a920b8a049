//! When members are probed, and the effects of probe results.
mod common;
use common::{
    DEDUPLICATED, GROUP, MS, TestRouter, entry, probed_members, role, sent_attempts, settings,
    settings_with_freshness_checks,
};
use decision::{Action, Event, GroupId, MemberEntry, MemberId, Outcome};

#[test]
fn first_request_probes_members_of_its_group_only() {
    let mut router = TestRouter::new(settings(DEDUPLICATED));
    let other = MemberEntry { group: GroupId(GROUP.0 + 1), ..entry(9) };
    let entries = (0..3).map(entry).chain([other]).collect();
    assert_eq!(probed_members(&router.handle(Event::MemberListChanged { complete: true, entries })), []);
    let actions = router.request(3, None).1;
    assert_eq!(probed_members(&actions), [MemberId(0), MemberId(1), MemberId(2)]);
    assert!(sent_attempts(&actions).is_empty());
}

#[test]
fn replica_without_report_is_probed_again() {
    let mut router = TestRouter::new(settings(DEDUPLICATED));
    router.list_members(3);
    router.probe_ended(0, true, 0);
    router.probe_ended(1, false, 0);
    let member = MemberId(2);
    router.probe_failed(member, Outcome::Ok);
    router.now += 1000 * MS;
    assert!(router.request(4, None).1.contains(&Action::Probe { member }));
}

#[test]
fn read_probes_at_most_two_replicas_for_freshness() {
    let mut router = TestRouter::new(settings(DEDUPLICATED));
    router.list_members(6);
    (0..6).for_each(|m| _ = router.probe_ended(m, m == 0, 900));
    router.now += 5000 * MS;
    let (_, mut actions) = router.request(3, None);
    let mut probe_count = 0;
    for _ in 0..20 {
        let members = probed_members(&actions);
        probe_count += members.len();
        router.now += 2 * MS;
        actions = members.into_iter().flat_map(|m| router.probe_ended(m.0, false, 900)).collect();
        actions.extend(router.handle(Event::TimerExpired));
    }
    assert_eq!(probe_count, 2);
}

#[test]
fn primary_search_backs_off() {
    let mut router = TestRouter::new(settings(DEDUPLICATED));
    router.list_members(3);
    let mut probe_count = 0;
    for _ in 0..500 {
        // A request is always queued, and no member is primary for five seconds.
        let mut actions = if router.now % (500 * MS) == 0 { router.request(0, None).1 } else { vec![] };
        actions.extend(router.advance(10));
        for m in probed_members(&actions) {
            probe_count += 1;
            router.probe_ended(m.0, false, 0);
        }
    }
    assert!((9..=45).contains(&probe_count), "{probe_count} probes of three members in 5 s");
}

#[test]
fn failed_probes_alone_do_not_eject_member() {
    let mut router = TestRouter::ready(settings(DEDUPLICATED));
    for member in [MemberId(1), MemberId(2)] {
        for outcome in [Outcome::Error, Outcome::TimedOut] {
            router.probe_failed(member, outcome);
        }
    }
    assert_ne!(sent_attempts(&router.request(4, None).1)[0].1, MemberId(0));
}

#[test]
fn short_event_interval_does_not_raise_probe_rate() {
    let mut router = TestRouter::new(settings_with_freshness_checks());
    router.list_members(3);
    let response_report = role(false);
    let mut probe_count = 0;
    for _ in 0..1000 {
        router.now += MS;
        let (id, mut actions) = router.request(0, None);
        let mut attempt = 0;
        loop {
            for m in probed_members(&actions) {
                probe_count += 1;
                actions.extend(router.probe_ended(m.0, false, 0));
            }
            let [(_, m)] = sent_attempts(&actions)[..] else { break };
            actions =
                router.end_attempt_with_report(id, attempt, m, Outcome::NotEligible, response_report, None);
            attempt += 1;
        }
        router.handle(Event::ClientDisconnected { request: id });
    }
    // Probes of three members at 0, 100, 300 and 700 ms. A fleet of a hundred routers sends a hundred times
    // as many.
    assert!((6..=12).contains(&probe_count), "{probe_count} probes from one router in 1 s");
}
