//! Tests of the router's part of the audit: lease, fence and report.
use audit::{Directive, FenceReason, LeaderResponse, VersionFence, VersionReport};
use decision::Time;
use settings::fleet::Version;

const LEASE: i64 = 1000;

/// Returns the leader's response to a report sent at `sent_at` with version `reported`.
fn response(sent_at: i64, reported: Version, current: Version, directive: Directive) -> LeaderResponse {
    LeaderResponse {
        report_sent_at: Time(sent_at),
        reported_version: reported,
        current_version: current,
        directive,
    }
}

#[test]
fn fence_admits_requests_only_under_a_confirmed_version_until_the_lease_expires() {
    let mut fence = VersionFence::new(LEASE);
    assert!(fence.check(Time(0)).is_err());
    fence.version_applied(Time(0), 5);
    assert!(fence.response_received(Time(10), &response(1, 5, 5, Directive::Continue { epoch: 0 })));
    assert_eq!(fence.check(Time(1000)), Ok(5));
    // Version 5 is no longer the current one, so the lease is not renewed.
    fence.response_received(Time(600), &response(500, 5, 6, Directive::Refetch { epoch: 0 }));
    let fenced = fence.check(Time(1001)).unwrap_err();
    assert_eq!((fenced.reason, fenced.since, fenced.version), (FenceReason::LeaseExpired, Time(1001), 5));
    fence.version_applied(Time(1100), 6);
    // A response to a report from before the version was applied does not confirm the version, nor does a
    // response that is received after the lease's end.
    fence.response_received(Time(1101), &response(1050, 5, 6, Directive::Continue { epoch: 0 }));
    assert!(fence.check(Time(1102)).is_err());
    fence.response_received(Time(2200), &response(1200, 6, 6, Directive::Continue { epoch: 0 }));
    assert!(fence.check(Time(2201)).is_err());
    fence.response_received(Time(2300), &response(2299, 6, 6, Directive::Continue { epoch: 0 }));
    assert_eq!(fence.check(Time(2301)), Ok(6));
}

#[test]
fn fenced_out_router_resumes_only_under_the_epoch_that_fenced_it_out() {
    let mut fence = VersionFence::new(LEASE);
    fence.version_applied(Time(0), 5);
    fence.response_received(Time(1), &response(0, 5, 5, Directive::Continue { epoch: 0 }));
    fence.response_received(Time(3), &response(2, 5, 6, Directive::FenceOut { epoch: 9 }));
    assert_eq!(fence.check(Time(4)).unwrap_err().reason, FenceReason::FencedOut);
    let report = |version_age, last_fence_duration, routing| VersionReport {
        version_age,
        last_fence_duration,
        routing,
        members_version: 3,
        epoch: 9,
    };
    assert_eq!(fence.report(Time(10), 3), report(10, 0, false));
    let outdated_directives =
        [Directive::Continue { epoch: 8 }, Directive::Refetch { epoch: 8 }, Directive::AuditDisabled];
    for outdated in outdated_directives {
        fence.version_applied(Time(5), 6);
        fence.response_received(Time(6), &response(5, 6, 6, outdated));
        assert!(fence.check(Time(7)).is_err(), "{outdated:?}");
    }
    fence.response_received(Time(8), &response(7, 6, 6, Directive::Continue { epoch: 9 }));
    assert_eq!(fence.check(Time(9)), Ok(6));
    // The router reports how long it was fenced, until it applies another version without a fence.
    assert_eq!(fence.report(Time(10), 3), report(2, 5, true));
    fence.version_applied(Time(11), 7);
    assert_eq!(fence.report(Time(11), 3).last_fence_duration, 0);
}

#[test]
fn fence_lifted_at_the_instant_of_lease_expiry_is_reported() {
    let mut fence = VersionFence::new(LEASE);
    fence.version_applied(Time(0), 5);
    fence.response_received(Time(10), &response(0, 5, 5, Directive::Continue { epoch: 0 }));
    fence.response_received(Time(1000), &response(900, 5, 5, Directive::Continue { epoch: 0 }));
    assert_eq!(fence.check(Time(1000)), Ok(5));
    // A duration of 0 would say that there was no fence.
    assert_eq!(fence.report(Time(1000), 0).last_fence_duration, 1);
}
