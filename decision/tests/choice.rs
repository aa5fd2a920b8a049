//! Choice of the member for a request: the primary, a replica that is fresh enough, or the queue.
mod common;
use common::{
    DEDUPLICATED, MS, TestRouter, entry, is_failed, is_rejected, probed_members, role, sent_attempts,
    settings, settings_with_freshness_checks,
};
use decision::{
    Event, Idempotency, MemberEntry, MemberId, MemberReport, Outcome, Request, RequestId,
    SessionCommitSource, SessionId, Settings, Time,
};

#[test]
fn writes_and_latest_reads_use_primary_other_reads_replicas() {
    let mut router = TestRouter::ready(settings(DEDUPLICATED));
    for (class, on_primary) in [(0, true), (1, true), (2, false), (3, false), (4, false)] {
        let (id, actions) = router.request(class, None);
        let sent = sent_attempts(&actions);
        assert_eq!(sent.len(), 1, "class {class}");
        assert_eq!(sent[0].1 == MemberId(0), on_primary, "class {class}");
        router.end_attempt(id, 0, sent[0].1, Outcome::Ok);
    }
}

#[test]
fn read_goes_to_replica_with_fewest_attempts_in_flight() {
    let mut router = TestRouter::ready(settings(DEDUPLICATED));
    let first = sent_attempts(&router.request(4, None).1)[0].1;
    let second = sent_attempts(&router.request(4, None).1)[0].1;
    assert_ne!(first, second);
}

#[test]
fn reads_overflow_to_spare_primary_capacity_only() {
    let mut router = TestRouter::ready(settings(DEDUPLICATED));
    // Each member has capacity for two attempts, so four reads fill the replicas.
    for _ in 0..4 {
        assert_ne!(sent_attempts(&router.request(4, None).1)[0].1, MemberId(0));
    }
    assert_eq!(sent_attempts(&router.request(4, None).1)[0].1, MemberId(0));
    // The primary's last slot is reserved for writes.
    assert!(sent_attempts(&router.request(4, None).1).is_empty());
    assert_eq!(sent_attempts(&router.request(0, None).1)[0].1, MemberId(0));
}

#[test]
fn stale_replica_gets_no_bounded_read() {
    let mut router = TestRouter::with_lagging_replicas(settings(DEDUPLICATED), [301, 299]);
    assert_eq!(sent_attempts(&router.request(3, None).1), [(RequestId(0), MemberId(2))]);
    router.now += 2 * MS;
    let actions = router.request(3, None).1;
    assert!(sent_attempts(&actions).iter().all(|s| s.1 == MemberId(0)));
}

#[test]
fn session_read_sees_own_write() {
    let remembered = SessionCommitSource::RememberedByRouter;
    let settings = Settings { session_commit_source: remembered, ..settings(DEDUPLICATED) };
    let mut router = TestRouter::ready(settings);
    let (write, _) = router.request(0, None);
    router.now += 10 * MS;
    let commit = Some(Time(router.now));
    router.end_attempt_with_report(write, 0, MemberId(0), Outcome::Ok, role(true), commit);
    // The replicas' last reported positions are older than the commit.
    assert!(sent_attempts(&router.request(2, None).1).iter().all(|s| s.1 == MemberId(0)));
}

/// Guards against a session that misses its own write, because another process of the router has served it.
#[test]
fn session_read_sees_writes_that_another_process_has_served() {
    let remembered = SessionCommitSource::RememberedByRouter;
    let settings = Settings { session_commit_source: remembered, ..settings(DEDUPLICATED) };
    let goes_to_primary_after = |event: fn(Time) -> Event| {
        let mut router = TestRouter::ready(settings.clone());
        router.now += 10 * MS;
        // The replicas' last reported positions are older than this time.
        let event = event(Time(router.now));
        router.handle(event);
        sent_attempts(&router.request(2, None).1).iter().all(|sent| sent.1 == MemberId(0))
    };
    assert!(goes_to_primary_after(|at| Event::SessionCommitted {
        group: common::GROUP,
        session: SessionId(1),
        commit: at
    }));
    assert!(goes_to_primary_after(|until| Event::SessionsCommitted { until }));
    assert!(!goes_to_primary_after(|at| Event::SessionCommitted {
        group: common::GROUP,
        session: SessionId(2),
        commit: at
    }));
}

#[test]
fn reads_do_not_flood_primary_if_replicas_lag() {
    let mut router = TestRouter::with_lagging_replicas(settings(DEDUPLICATED), [5000, 5000]);
    let mut sent = 0;
    for _ in 0..40 {
        sent += sent_attempts(&router.request(3, None).1).len();
    }
    for _ in 0..10 {
        sent += sent_attempts(&router.advance(10)).len();
    }
    assert!((1..=8).contains(&sent), "{sent} attempts sent");
}

#[test]
fn write_finds_primary_where_probes_fail() {
    let mut router = TestRouter::new(settings(DEDUPLICATED));
    router.list_members(3);
    for member in (0..3).map(MemberId) {
        router.probe_failed(member, Outcome::Error);
    }
    let (id, actions) = router.request(0, None);
    let mut tried = sent_attempts(&actions);
    for attempt in 0..2 {
        let m = tried[attempt as usize].1;
        let response_report = role(false);
        tried.extend(sent_attempts(&router.end_attempt_with_report(
            id,
            attempt,
            m,
            Outcome::NotEligible,
            response_report,
            None,
        )));
    }
    tried.sort();
    assert_eq!(tried.iter().map(|s| s.1.0).collect::<Vec<_>>(), [0, 1, 2]);
}

/// A new router whose list names member 0 as the primary and two replicas.
fn router_with_listed_primary() -> TestRouter {
    let mut router = TestRouter::new(settings_with_freshness_checks());
    let mut entries: Vec<MemberEntry> = (0..3).map(entry).collect();
    entries[0].listed_primary = true;
    router.handle(Event::MemberListChanged { complete: true, entries });
    router
}

#[test]
fn roles_are_learned_from_responses_if_members_check_freshness() {
    let mut router = router_with_listed_primary();
    let (read, actions) = router.request(4, None);
    let sent = sent_attempts(&actions);
    assert_eq!(
        (sent.len(), probed_members(&actions).len()),
        (1, 0),
        "the read must be sent without a probe, because each router would probe every member"
    );
    assert_ne!(sent[0].1, MemberId(0), "the listed primary must be reserved for writes");
    let response_report = MemberReport { primary: Some(false), position: Some(Time(router.now)) };
    router.end_attempt_with_report(read, 0, sent[0].1, Outcome::Ok, response_report, None);
    // The reported position counts: a session read with an older commit goes to this replica.
    assert_eq!(sent_attempts(&router.request(2, Some(10)).1)[0].1, sent[0].1);
    let (write, actions) = router.request(0, None);
    assert_eq!((sent_attempts(&actions), probed_members(&actions)), (vec![(write, MemberId(0))], vec![]));
}

#[test]
fn write_tries_each_member_once_then_is_queued() {
    let mut router = router_with_listed_primary();
    let (id, mut actions) = router.request(0, None);
    let response_report = role(false);
    let mut tried_members = Vec::new();
    while let [(_, m)] = sent_attempts(&actions)[..] {
        tried_members.push(m);
        actions = router.end_attempt_with_report(
            id,
            tried_members.len() as u32 - 1,
            m,
            Outcome::NotEligible,
            response_report,
            None,
        );
    }
    assert_eq!(tried_members[0], MemberId(0), "the listed primary must be tried first");
    tried_members.sort_unstable();
    assert_eq!(tried_members, [MemberId(0), MemberId(1), MemberId(2)]);
    assert!(!is_rejected(&actions, id) && !is_failed(&actions, id));
    // The next write does not retry members that have just responded as replicas.
    assert!(sent_attempts(&router.request(0, None).1).is_empty());
    router.now += 500 * MS;
    assert!(
        sent_attempts(&router.request(0, None).1).is_empty(),
        "responses of replicas must take precedence for 1 s"
    );
    // A report names the new primary, and queued requests are sent to it.
    router.now += 20 * MS;
    let actions = router.probe_ended(2, true, 0);
    assert!(sent_attempts(&actions).is_empty(), "a recent response must take precedence over a report");
    router.now += 1000 * MS;
    let actions = router.probe_ended(2, true, 0);
    assert!(sent_attempts(&actions).iter().all(|s| s.1 == MemberId(2)));
}

#[test]
fn read_without_freshness_bound_is_sent_if_probing_is_disabled() {
    let mut router = TestRouter::new(Settings { probing_allowed: false, ..settings(DEDUPLICATED) });
    router.list_members(3);
    // No member has reported yet, and members may not be probed.
    let (read, actions) = router.request(4, None);
    assert_eq!(sent_attempts(&actions).iter().map(|(id, _)| *id).collect::<Vec<_>>(), [read]);
    // A read that needs proof of freshness is not sent until a write reveals the primary.
    let (_, actions) = router.request(3, None);
    assert!(sent_attempts(&actions).is_empty());
}

/// Guards against a request that fails without need, because it is tried at a member that turns out not to be the
/// primary, and the member's error does not prove that nothing ran.
#[test]
fn request_that_may_run_partially_waits_until_the_primary_is_known() {
    for may_run_partially in [false, true] {
        let mut router = TestRouter::new(settings(Idempotency::NotIdempotent));
        router.list_members(2);
        let request = Request {
            id: RequestId(77),
            group: common::GROUP,
            deadline: Time(router.now + 1000 * MS),
            may_run_partially,
            ..Request::default()
        };
        let actions = router.handle(Event::RequestArrived(request));
        assert_eq!(sent_attempts(&actions).is_empty(), may_run_partially, "{actions:?}");
        if may_run_partially {
            assert_eq!(probed_members(&actions), [MemberId(0), MemberId(1)]);
            router.now += 20 * MS;
            let actions = router.probe_ended(1, true, 0);
            assert_eq!(sent_attempts(&actions), [(RequestId(77), MemberId(1))]);
        }
    }
}
