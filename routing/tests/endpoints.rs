//! Tests of the order in which the endpoints actor applies updates, including updates from different watch
//! connections.
use crossbeam_channel::{Receiver, bounded, unbounded};
use decision::{GroupId, MemberState};
use routing::{EndpointEntry, EndpointUpdate, EndpointsHandle, RouterMessage, UpdateOrder};
use testkit::routing::{NoProtocol, TIMEOUT, limits, start_endpoints};

fn endpoint(id: &str, state: MemberState, port: u16) -> EndpointEntry {
    EndpointEntry { state, ..testkit::routing::endpoint(id, port, GroupId(1)) }
}

const READY: MemberState = MemberState::Ready;
const DRAINING: MemberState = MemberState::Draining;

fn update(version: u64, complete: bool, endpoints: &[(&str, MemberState)]) -> EndpointUpdate {
    let endpoints = endpoints.iter().map(|(id, state)| endpoint(id, *state, 1)).collect();
    EndpointUpdate { version, complete, endpoints }
}

struct Fixture {
    endpoints: EndpointsHandle,
    router: Receiver<RouterMessage<NoProtocol>>,
}

impl Fixture {
    fn start() -> Fixture {
        let (sender, router) = unbounded();
        Fixture { endpoints: start_endpoints(&limits(TIMEOUT), sender, None), router }
    }

    /// Sends an update. Returns the entries that are forwarded to the router actor, and the version from
    /// which a watch then resumes.
    fn notify(&self, order: UpdateOrder, update: EndpointUpdate) -> (Vec<(String, MemberState)>, u64) {
        assert!(self.endpoints.notify_ordered(order, update));
        assert!(self.endpoints.wait_until_applied(TIMEOUT));
        let forwarded = self.router.try_iter().flat_map(|message| match message {
            RouterMessage::Endpoints(update) => update.endpoints,
            _ => vec![],
        });
        (forwarded.map(|e| (e.id, e.state)).collect(), self.endpoints.version())
    }
}

fn states(endpoints: &[(&str, MemberState)]) -> Vec<(String, MemberState)> {
    endpoints.iter().map(|(id, state)| (id.to_string(), *state)).collect()
}

#[test]
fn update_after_gap_applies_at_once_and_missed_updates_still_apply() {
    let fixture = Fixture::start();
    fixture.notify(UpdateOrder::Consecutive, update(5, true, &[("a", READY), ("b", READY), ("c", READY)]));
    // The watch missed versions 6 and 7. In version 6 or 7, endpoint b started draining.
    let result = fixture.notify(UpdateOrder::AfterGap, update(8, false, &[("a", DRAINING)]));
    assert_eq!(result, (states(&[("a", DRAINING)]), 5), "a new watch must resume from version 5");
    let result =
        fixture.notify(UpdateOrder::Consecutive, update(8, false, &[("b", DRAINING), ("a", DRAINING)]));
    assert_eq!(result, (states(&[("b", DRAINING), ("a", DRAINING)]), 8));
}

#[test]
fn update_after_gap_is_not_undone_by_older_update() {
    let fixture = Fixture::start();
    fixture.notify(UpdateOrder::Consecutive, update(5, true, &[("a", READY), ("b", READY)]));
    fixture.notify(UpdateOrder::AfterGap, update(9, false, &[("a", DRAINING)]));
    // The update with version 8 is older than version 9 but received after it.
    let result = fixture.notify(UpdateOrder::Consecutive, update(8, false, &[("a", READY), ("b", DRAINING)]));
    assert_eq!(result, (states(&[("b", DRAINING)]), 8));
    let result = fixture.notify(UpdateOrder::Consecutive, update(9, false, &[("a", DRAINING)]));
    assert_eq!(result, (states(&[("a", DRAINING)]), 9));
    let result = fixture.notify(UpdateOrder::Consecutive, update(10, false, &[("a", READY)]));
    assert_eq!(
        result,
        (states(&[("a", READY)]), 10),
        "consecutive updates must apply again after the gap is closed"
    );
}

#[test]
fn stale_update_is_ignored_and_complete_list_replaces_all() {
    let fixture = Fixture::start();
    fixture.notify(UpdateOrder::Consecutive, update(45, true, &[("a", DRAINING), ("b", READY)]));
    // An update of the old watch is received after the complete list of the new watch.
    assert_eq!(fixture.notify(UpdateOrder::Consecutive, update(44, false, &[("a", READY)])), (vec![], 45));
    assert_eq!(fixture.notify(UpdateOrder::AfterGap, update(44, false, &[("a", READY)])), (vec![], 45));
    // Both watches receive the update with version 45.
    let same = fixture.notify(UpdateOrder::Consecutive, update(45, false, &[("a", DRAINING)]));
    assert_eq!(same, (states(&[("a", DRAINING)]), 45));
    // A complete list replaces the current one even if its version is the same or lower: the list may be from
    // another discovery agent or from one that has restarted.
    let complete = fixture.notify(UpdateOrder::Consecutive, update(45, true, &[("c", READY)]));
    assert_eq!(complete, (states(&[("c", READY)]), 45));
    let lower = fixture.notify(UpdateOrder::Consecutive, update(3, true, &[("d", READY)]));
    assert_eq!(lower, (states(&[("d", READY)]), 3));
    let next = fixture.notify(UpdateOrder::Consecutive, update(4, false, &[("d", DRAINING)]));
    assert_eq!(next, (states(&[("d", DRAINING)]), 4));
}

#[test]
fn update_with_restarted_versions_is_applied() {
    let fixture = Fixture::start();
    fixture.notify(UpdateOrder::Consecutive, update(45, true, &[("a", READY)]));
    assert_eq!(
        fixture.notify(UpdateOrder::VersionsRestarted, update(2, false, &[("a", DRAINING)])),
        (states(&[("a", DRAINING)]), 2)
    );
    assert_eq!(
        fixture.notify(UpdateOrder::Consecutive, update(3, false, &[("a", READY)])),
        (states(&[("a", READY)]), 3)
    );
}

#[test]
fn changed_addresses_and_relisted_endpoints_are_forwarded_to_router() {
    let fixture = Fixture::start();
    fixture.notify(UpdateOrder::Consecutive, update(1, true, &[("a", READY)]));
    for (version, state, port) in [(2, READY, 2), (3, MemberState::Removed, 2), (4, READY, 3)] {
        let moved = EndpointUpdate { version, complete: false, endpoints: vec![endpoint("a", state, port)] };
        assert!(fixture.endpoints.notify(moved));
        let Ok(RouterMessage::Endpoints(received)) = fixture.router.recv_timeout(TIMEOUT) else {
            panic!("no endpoint update was received")
        };
        assert_eq!(
            (received.version, received.endpoints[0].addr.port(), received.endpoints[0].state),
            (version, port, state)
        );
    }
}

#[test]
fn updates_are_forwarded_in_order_when_router_mailbox_is_full() {
    let (sender, router) = bounded::<RouterMessage<NoProtocol>>(1);
    let endpoints = start_endpoints(&limits(TIMEOUT), sender, None);
    let notifier = endpoints.clone();
    let notified = std::thread::spawn(move || {
        (1..=10_000).all(|version| notifier.notify(update(version, version == 1, &[("a", READY)])))
    });
    let versions = (1..=10_000).map(|_| match router.recv_timeout(TIMEOUT) {
        Ok(RouterMessage::Endpoints(update)) => update.version,
        _ => panic!("no endpoint update was received"),
    });
    assert!(versions.eq(1..=10_000));
    assert!(notified.join().unwrap());
    // When the router actor has stopped, the endpoints actor stops too, and sending an update fails.
    drop(router);
    while endpoints.notify(update(10_001, true, &[])) {}
}
