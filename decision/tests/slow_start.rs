//! Members that have just started get no more requests than they can handle. `cold_fleet` tests this for
//! whole fleets.
mod common;
use common::{DEDUPLICATED, MS, TestRouter, entry, role, sent_attempts, settings};
use decision::{Action, Event, MemberEntry, MemberId, MemberState, Outcome, Settings, Time};

/// The number of 100 consecutive reads that replicas serve.
fn reads_served_by_replicas(router: &mut TestRouter) -> usize {
    let mut to_replicas = 0;
    for _ in 0..100 {
        let (id, actions) = router.request(4, None);
        for (_, member) in sent_attempts(&actions) {
            to_replicas += usize::from(member != MemberId(0));
            router.end_attempt(id, 0, member, Outcome::Ok);
        }
    }
    to_replicas
}

/// A list entry of a member that started at this time.
fn started(id: u32, at: i64) -> MemberEntry {
    MemberEntry { started_at: Some(Time(at)), ..entry(id) }
}

#[test]
fn member_that_refused_connections_warms_up_after_return() {
    let mut router = TestRouter::ready(settings(DEDUPLICATED));
    // Replicas refuse all connections for a while, both of attempts and of probes.
    for _ in 0..6 {
        let mut actions = router.request(4, None).1;
        actions.extend(router.advance(1500));
        while let Some(action) = actions.pop() {
            match action {
                Action::Send { request, member, .. } if member != MemberId(0) => {
                    actions.extend(router.end_attempt(request, 0, member, Outcome::ConnectFailed));
                }
                Action::Send { request, member, .. } => {
                    actions.extend(router.end_attempt(request, 0, member, Outcome::Ok));
                    actions.extend(router.end_attempt(request, 1, member, Outcome::Ok));
                }
                Action::Probe { member } if member != MemberId(0) => {
                    actions.extend(router.probe_failed(member, Outcome::ConnectFailed));
                }
                Action::Probe { .. } => actions.extend(router.probe_ended(0, true, 0)),
                _ => {}
            }
        }
    }
    router.now += 3000 * MS;
    router.handle(Event::TimerExpired);
    router.probe_ended(1, false, 0);
    router.probe_ended(2, false, 0);
    let to_replicas = reads_served_by_replicas(&mut router);
    assert!(to_replicas <= 35, "{to_replicas} of 100 reads sent to members that may be cold");
}

#[test]
fn member_with_connect_timeouts_serves_fully_after_return() {
    let mut router = TestRouter::ready(settings(DEDUPLICATED));
    for _ in 0..4 {
        // Connections time out without being refused.
        router.now += 3000 * MS;
        router.probe_failed(MemberId(1), Outcome::ConnectFailed);
        router.probe_failed(MemberId(2), Outcome::ConnectFailed);
    }
    router.probe_ended(1, false, 0);
    router.probe_ended(2, false, 0);
    let to_replicas = reads_served_by_replicas(&mut router);
    assert!(to_replicas >= 90, "{to_replicas} of 100 reads sent to members that are reachable again");
}

#[test]
fn few_busy_routers_do_not_overload_cold_primary() {
    let mut router = TestRouter::ready(settings(DEDUPLICATED));
    router.list_changes(vec![started(0, router.now)]);
    router.probe_ended(0, true, 0);
    let mut sent = 0;
    for _ in 0..400 {
        router.now += 5 * MS;
        let (id, actions) = router.request(0, None);
        let dequeued = router.handle(Event::TimerExpired);
        for (request, member) in sent_attempts(&actions).into_iter().chain(sent_attempts(&dequeued)) {
            assert_eq!(member, MemberId(0));
            sent += 1;
            router.end_attempt(request, 0, member, Outcome::Ok);
        }
        router.handle(Event::ClientDisconnected { request: id });
    }
    // 400 writes arrive within the overload duration, all of them at this router, which is the load that a
    // warm primary can handle.
    let settings = settings(DEDUPLICATED);
    let overload_limit = settings.overload_factor * settings.slow_start_initial_share * 400.0;
    assert!(
        sent > 0 && f64::from(sent) < overload_limit * 0.75,
        "{sent} writes sent, overloaded by {overload_limit}"
    );
}

#[test]
fn backlog_of_many_routers_does_not_overload_cold_primary() {
    // A warm primary handles 100 writes per second. When it returns, 300 writes are queued, and 100 per
    // second continue to arrive.
    let settings = Settings { router_count: 500, ..settings(DEDUPLICATED) };
    let mut routers: Vec<TestRouter> = (0..500)
        .map(|i| {
            let mut router = TestRouter::with_seed(settings.clone(), i);
            let mut entries: Vec<MemberEntry> = (0..3).map(entry).collect();
            entries[0].state = MemberState::Draining;
            router.handle(Event::MemberListChanged { complete: true, entries });
            (1..3).for_each(|m| _ = router.probe_ended(m, false, 0));
            router
        })
        .collect();
    let mut sent = 0;
    for router in &mut routers[..300] {
        // No primary is known yet: each write tries both replicas and is then queued.
        let (id, mut actions) = router.request(0, None);
        for attempt in 0..2 {
            let to = sent_attempts(&actions);
            assert!(to.len() == 1 && to[0].1 != MemberId(0), "{to:?}");
            actions =
                router.end_attempt_with_report(id, attempt, to[0].1, Outcome::NotEligible, role(false), None);
        }
        assert!(sent_attempts(&actions).is_empty());
    }
    for (i, router) in routers.iter_mut().enumerate() {
        router.list_changes(vec![started(0, router.now)]);
        sent += sent_attempts(&router.probe_ended(0, true, 0)).len();
        router.now += 4 * MS * i as i64;
        if i % 5 < 2 {
            sent += sent_attempts(&router.request(0, None).1).len();
        }
        router.now += (2000 - 4 * i as i64) * MS;
        sent += sent_attempts(&router.handle(Event::TimerExpired)).len();
    }
    // The limit follows from the present capacity, which rises linearly while the member warms up.
    let (initial, duration) = (settings.slow_start_initial_share, settings.overload_duration as f64);
    let mean = initial + (1.0 - initial) * 0.5 * duration / settings.slow_start_duration as f64;
    let overload_limit = 0.9 * settings.overload_factor * mean * 100.0 * duration / 1e6;
    assert!(
        sent > 20 && (sent as f64) < overload_limit,
        "{sent} writes sent, overloaded by {overload_limit}"
    );
}

#[test]
fn cold_replica_gets_only_its_own_share() {
    let mut router = TestRouter::ready(settings(DEDUPLICATED));
    let draining = MemberEntry { state: MemberState::Draining, ..entry(2) };
    router.list_changes(vec![started(1, router.now), draining]);
    let mut sent = 0;
    for _ in 0..200 {
        let (id, actions) = router.request(4, None);
        for (request, member) in sent_attempts(&actions) {
            sent += usize::from(member == MemberId(1));
            router.end_attempt(request, 0, member, Outcome::Ok);
        }
        router.handle(Event::ClientDisconnected { request: id });
    }
    // The replica has a fifth of its capacity. It may get half of the threefold load that overloads it, and
    // half of the reads are its own share: on average 30 of 200.
    assert!((1..=40).contains(&sent), "{sent} of 200 reads sent to the cold replica");
}

/// The share of 1,000 single writes that are sent to a primary of this age.
fn share_of_writes_sent(age_ms: i64) -> f64 {
    let mut router = TestRouter::ready(settings(DEDUPLICATED));
    router.list_changes(vec![started(0, router.now - age_ms * MS)]);
    router.probe_ended(0, true, 0);
    let mut sent = 0;
    for _ in 0..1000 {
        let (id, actions) = router.request(0, None);
        for (request, member) in sent_attempts(&actions) {
            sent += 1;
            router.end_attempt(request, 0, member, Outcome::Ok);
        }
        router.handle(Event::ClientDisconnected { request: id });
    }
    f64::from(sent) / 1000.0
}

#[test]
fn starting_primary_gets_growing_share_of_writes() {
    // A cold primary has a fifth of its capacity, is overloaded by three times that, and is warm after 17 s.
    let (cold, half_warm, almost_warm) =
        (share_of_writes_sent(0), share_of_writes_sent(6_400), share_of_writes_sent(13_000));
    assert!(cold > 0.2 && cold < 0.4, "share of writes of a cold primary: {cold}");
    assert!(half_warm > 0.5 && half_warm < 0.9, "share of writes at half of its capacity: {half_warm}");
    assert!(almost_warm == 1.0, "share of writes at four fifths of its capacity: {almost_warm}");
}
