//! Member lists, the number of routers, and the size of the router's state.
mod common;
use common::{DEDUPLICATED, GROUP, MS, TestRouter, entry, role, sent_attempts, settings};
use decision::{
    Action, Event, MemberEntry, MemberId, MemberState, Outcome, Request, RequestId, SessionCommitSource,
    SessionId, Settings, Time,
};

#[test]
fn draining_member_gets_no_attempts() {
    let mut router = TestRouter::ready(settings(DEDUPLICATED));
    router.list_changes(vec![MemberEntry { state: MemberState::Draining, ..entry(1) }]);
    for _ in 0..6 {
        assert!(sent_attempts(&router.request(4, None).1).iter().all(|s| s.1 != MemberId(1)));
    }
}

#[test]
fn member_missing_from_complete_list_is_removed() {
    let mut router = TestRouter::ready(settings(DEDUPLICATED));
    let actions = router.list_members(2);
    assert!(actions.contains(&Action::Remove { member: MemberId(2) }));
}

#[test]
fn unknown_router_count_leaves_pools_bounded() {
    let mut router = TestRouter::ready(Settings { router_count: 0, ..settings(DEDUPLICATED) });
    let sent: usize = (0..200).map(|_| sent_attempts(&router.request(4, None).1).len()).sum();
    assert!((1..=32).contains(&sent), "{sent}");
}

#[test]
fn state_stays_bounded_in_long_run() {
    let remembered = SessionCommitSource::RememberedByRouter;
    let settings = Settings { session_commit_source: remembered, ..settings(DEDUPLICATED) };
    let mut router = TestRouter::ready(settings);
    let size_after_run = |router: &mut TestRouter, base: u32| {
        for i in 0..6000u64 {
            router.now += MS;
            let (id, group) = (RequestId(router.next_request), GROUP);
            router.next_request += 1;
            let session = Some(SessionId(router.next_request));
            let deadline = Time(router.now + 1200 * MS);
            let write = Request {
                id,
                class: 0,
                tenant: 0,
                session,
                group,
                deadline,
                session_commit: None,
                may_run_partially: false,
            };
            for (request, member) in sent_attempts(&router.handle(Event::RequestArrived(write))) {
                let commit = Some(Time(router.now));
                router.end_attempt_with_report(request, 0, member, Outcome::Ok, role(true), commit);
            }
            // Members join and leave continuously.
            let state = if i % 2 == 0 { MemberState::Ready } else { MemberState::Removed };
            let entry = MemberEntry { state, ..entry(base + (i / 2) as u32) };
            let member = entry.id;
            if router.list_changes(vec![entry]).contains(&Action::Probe { member }) {
                router.probe_failed(member, Outcome::ConnectFailed);
            }
        }
        format!("{:?}", router.inner).len()
    };
    let first = size_after_run(&mut router, 100);
    let second = size_after_run(&mut router, 10_000);
    assert!(second < first + first / 5, "state grew from {first} to {second} characters");
}
