//! Rejection of requests that cannot be served in time.
mod common;
use common::{DEDUPLICATED, MS, TestRouter, is_failed, is_rejected, sent_attempts, settings};
use decision::{Action, Event, GroupId, Idempotency, MemberId, Outcome, Request, RequestId, Router, Time};

#[test]
fn queued_read_is_rejected_once_with_retry_after() {
    let mut router = TestRouter::new(settings(DEDUPLICATED));
    let (read, _) = router.request(4, None);
    let mut rejections = 0;
    for _ in 0..60 {
        let actions = router.advance(10);
        rejections += actions
            .iter()
            .filter(|a| matches!(a, Action::Reject { request, retry_after: Some(_) } if *request == read))
            .count();
    }
    assert_eq!(rejections, 1);
}

#[test]
fn client_retry_past_objective_is_rejected_first_try_is_not() {
    let mut router = TestRouter::ready(settings(DEDUPLICATED));
    let mut is_rejected_with = |timeout_ms: i64| {
        let (id, actions) = router.request_with_timeout(4, None, timeout_ms);
        for (request, member) in sent_attempts(&actions) {
            router.now += MS;
            router.end_attempt(request, 0, member, Outcome::Ok);
        }
        is_rejected(&actions, id)
    };
    // First tries have 700 of 1200 ms left to their deadline, and the latency objective is 400 ms. A timeout
    // above 700 ms is also taken for a client's retry.
    assert!((0..20).all(|_| !is_rejected_with(700)));
    assert!(is_rejected_with(750), "not rejected 450 ms after the first try");
    assert!(is_rejected_with(600), "not rejected 600 ms after the first try");
    assert!(!is_rejected_with(1100), "rejected 100 ms after the first try");
    assert!(!is_rejected_with(700));
    // When most clients change to a shorter timeout, it is eventually recognised as that of first tries, even
    // after a long time with the old one.
    assert!((0..20_000).all(|_| !is_rejected_with(700)));
    (0..2_000).for_each(|_| _ = is_rejected_with(600));
    assert!(!is_rejected_with(600));
}

/// Guards against a request that outlives the process, because its deadline is later than the end of a shutdown.
#[test]
fn request_ends_at_its_shortened_deadline() {
    for in_flight in [false, true] {
        let mut router = TestRouter::new(settings(Idempotency::NotIdempotent));
        if in_flight {
            router = TestRouter::ready(settings(Idempotency::NotIdempotent));
        }
        let (write, actions) = router.request(0, None);
        assert_eq!(sent_attempts(&actions).len(), usize::from(in_flight));
        let deadline = Time(router.now + 300 * MS);
        router.handle(Event::DeadlineShortened { request: write, deadline });
        // A later deadline changes nothing.
        let later = Time(router.now + 900 * MS);
        router.handle(Event::DeadlineShortened { request: write, deadline: later });
        let mut actions = router.advance(150);
        assert!(!is_rejected(&actions, write), "rejected before the deadline: {actions:?}");
        actions.extend(router.advance(200));
        if in_flight {
            // The driver times out the attempt at the new deadline.
            actions = router.end_attempt(write, 0, MemberId(0), Outcome::TimedOut);
            assert!(is_failed(&actions, write), "{actions:?}");
        } else {
            assert!(is_rejected(&actions, write), "{actions:?}");
        }
    }
}

/// Guards against memory that grows with each group that clients name, although no server has ever belonged to it.
#[test]
fn groups_without_members_are_forgotten_with_their_last_request() {
    const REQUESTS: u64 = 100;
    let mut router = Router::new(settings(DEDUPLICATED), 1);
    let mut actions = Vec::new();
    let mut open: Vec<RequestId> = Vec::new();
    for number in 0..REQUESTS {
        let request = Request {
            id: RequestId(number),
            class: 4,
            tenant: 0,
            session: None,
            group: GroupId(1000 + number as u32),
            deadline: Time(1200 * MS),
            session_commit: None,
            may_run_partially: false,
        };
        open.push(request.id);
        router.handle(Time(0), Event::RequestArrived(request), &mut actions);
    }
    for request in open {
        router.handle(Time(MS), Event::ClientDisconnected { request }, &mut actions);
    }
    assert_eq!(router.group_count(), 0);
}
