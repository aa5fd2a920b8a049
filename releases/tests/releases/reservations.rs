//! Tests a release's requests for reservations, and responses that are late or duplicated.
use crate::sim::{last_good, plan, settings, target_version};
use decision::Time;
use releases::{Action, Event, GrantId, Phase, Release, RequestId, RouterStep};

/// Creates a release of one router and returns its first request.
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
    request.expect("no reservation was requested")
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
fn grant_with_too_little_lease_left_is_returned() {
    let (mut release, request) = release_with_open_request();
    let late = Time(settings().lease - settings().update_timeout + 1);
    let mut actions = Vec::new();
    release.handle(late, granted(request, 5), &mut actions);
    assert_eq!(actions[0], returned(5));
    assert!(!has_update(&actions));
}

/// Checks that a grant for this request is returned without an update.
fn assert_grant_is_returned(release: &mut Release, request: RequestId) {
    let mut actions = Vec::new();
    release.handle(Time(9), granted(request, 5), &mut actions);
    assert_eq!(actions[0], returned(5));
    assert!(!has_update(&actions));
}

#[test]
fn grant_after_rollback_or_halt_is_returned_without_update() {
    for event in [Event::RollBack, Event::Halt] {
        let (mut release, request) = release_with_open_request();
        release.handle(Time(1), event, &mut Vec::new());
        assert_grant_is_returned(&mut release, request);
        assert_eq!(release.snapshot().routers["r0"].step, RouterStep::Pending);
    }
}

#[test]
fn grant_for_router_already_updated_is_returned_without_update() {
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
fn delayed_earlier_grant_does_not_replace_latest_grant() {
    let (mut release, request) = release_with_open_request();
    let mut actions = Vec::new();
    release.handle(Time(1), granted(request, 2), &mut actions);
    release.handle(Time(2), granted(request, 1), &mut actions);
    let updated = Event::Updated { router: "r0".into(), version: target_version() };
    release.handle(Time(3), updated, &mut actions);
    assert!(actions.contains(&returned(2)) && !actions.contains(&returned(1)), "{actions:?}");
}

#[test]
fn renewed_reservation_is_retained_until_router_is_in_service() {
    let (mut release, request) = release_with_open_request();
    let mut actions = Vec::new();
    release.handle(Time(1), granted(request, 1), &mut actions);
    actions.clear();
    // The request was duplicated, so there are two responses; the second one has the latest grant.
    release.handle(Time(2), granted(request, 2), &mut actions);
    // The router is rolled back during its update. The time left after the next response would be too short
    // for a whole update.
    release.handle(Time(3), Event::RollBack, &mut actions);
    let late = 3 + settings().lease - settings().update_timeout + 1;
    let first_rollback_request = last_request(&actions);
    let mut after_update = Vec::new();
    let updated = Event::Updated { router: "r0".into(), version: target_version() };
    release.handle(Time(4), updated, &mut after_update);
    assert!(after_update.contains(&returned(2)), "{after_update:?}");
    // The router is rolled back immediately; a restored driver requests its reservation again.
    let request = last_request(&after_update);
    assert_ne!(request, first_rollback_request);
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
