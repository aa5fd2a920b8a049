//! A release's requests for reservations, and answers that come late or twice.
use crate::sim::{last_good, plan, settings, target_version};
use decision::Time;
use releases::{Action, Event, GrantId, Phase, Release, RequestId, RouterStep};

/// A release of one router, and its first request.
fn release_with_open_request() -> (Release, RequestId) {
    let routers = [("r0".to_string(), "z".to_string())].into();
    let mut release = Release::new(plan(&routers), settings()).unwrap();
    let mut actions = Vec::new();
    release.handle(Time(0), Event::Tick, &mut actions);
    let Some(Action::Acquire { request, .. }) = actions.last() else { panic!("{actions:?}") };
    (release, *request)
}

fn last_request(actions: &[Action]) -> RequestId {
    let request = actions.iter().rev().find_map(|action| match action {
        Action::Acquire { request, .. } => Some(*request),
        _ => None,
    });
    request.expect("a request")
}

fn granted(request: RequestId, grant: u64) -> Event {
    Event::Granted { router: "r0".into(), request, grant: GrantId(grant) }
}

fn returned(grant: u64) -> Action {
    Action::Return { router: "r0".into(), grant: GrantId(grant) }
}

fn has_update(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Update { .. }))
}

#[test]
fn grant_too_late_for_its_lease_is_returned() {
    let (mut release, request) = release_with_open_request();
    let late = Time(settings().lease - settings().update_timeout + 1);
    let mut actions = Vec::new();
    release.handle(late, granted(request, 5), &mut actions);
    assert_eq!(actions[0], returned(5));
    assert!(!has_update(&actions));
}

/// A grant for this request is returned and updates no router.
fn assert_grant_is_returned(release: &mut Release, request: RequestId) {
    let mut actions = Vec::new();
    release.handle(Time(9), granted(request, 5), &mut actions);
    assert_eq!(actions[0], returned(5));
    assert!(!has_update(&actions));
}

#[test]
fn grant_after_rollback_or_halt_updates_no_router() {
    for event in [Event::RollBack, Event::Halt] {
        let (mut release, request) = release_with_open_request();
        release.handle(Time(1), event, &mut Vec::new());
        assert_grant_is_returned(&mut release, request);
        assert_eq!(release.snapshot().routers["r0"].step, RouterStep::Pending);
    }
}

#[test]
fn grant_for_a_router_that_came_back_meanwhile_updates_no_router() {
    let (mut release, request) = release_with_open_request();
    let mut actions = Vec::new();
    release.handle(Time(1), granted(request, 1), &mut actions);
    let mut release = Release::restore(release.snapshot().clone(), &mut actions).unwrap();
    release.handle(Time(2), Event::Tick, &mut actions);
    let request = last_request(&actions);
    let updated = Event::Updated { router: "r0".into(), version: target_version() };
    release.handle(Time(3), updated, &mut actions);
    assert_grant_is_returned(&mut release, request);
    assert_eq!(release.snapshot().routers["r0"].step, RouterStep::Updated);
}

#[test]
fn late_earlier_grant_does_not_replace_the_latest() {
    let (mut release, request) = release_with_open_request();
    let mut actions = Vec::new();
    release.handle(Time(1), granted(request, 2), &mut actions);
    release.handle(Time(2), granted(request, 1), &mut actions);
    let updated = Event::Updated { router: "r0".into(), version: target_version() };
    release.handle(Time(3), updated, &mut actions);
    assert!(actions.contains(&returned(2)) && !actions.contains(&returned(1)), "{actions:?}");
}

#[test]
fn reservation_granted_anew_to_a_router_that_is_out_stays_until_it_is_back() {
    let (mut release, request) = release_with_open_request();
    let mut actions = Vec::new();
    release.handle(Time(1), granted(request, 1), &mut actions);
    actions.clear();
    // The request arrived twice, and so did the answer, with the latest grant.
    release.handle(Time(2), granted(request, 2), &mut actions);
    // Turned round, with an answer too late for a whole update.
    release.handle(Time(3), Event::RollBack, &mut actions);
    let late = 3 + settings().lease - settings().update_timeout + 1;
    let first_return_request = last_request(&actions);
    let mut after_update = Vec::new();
    let updated = Event::Updated { router: "r0".into(), version: target_version() };
    release.handle(Time(4), updated, &mut after_update);
    assert!(after_update.contains(&returned(2)), "{after_update:?}");
    // Sent back at once, and requested again by a restored driver.
    let request = last_request(&after_update);
    assert_ne!(request, first_return_request);
    release.handle(Time(5), granted(request, 3), &mut actions);
    let mut release = Release::restore(release.snapshot().clone(), &mut actions).unwrap();
    release.handle(Time(6), Event::Tick, &mut actions);
    let request = last_request(&actions);
    actions.clear();
    release.handle(Time(late + 6), granted(request, 4), &mut actions);
    let is_return = |action: &Action| matches!(action, Action::Return { .. });
    assert!(!has_update(&actions) && !actions.iter().any(is_return), "{actions:?}");
    let rolled_back = Event::Updated { router: "r0".into(), version: last_good() };
    release.handle(Time(late + 7), rolled_back, &mut actions);
    assert!(actions.contains(&returned(4)), "{actions:?}");
    assert_eq!(*release.phase(), Phase::RolledBack);
}
