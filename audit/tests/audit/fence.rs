//! The router's side: lease, fence and report.
use audit::{Directive, FenceReason, LeaderAnswer, VersionFence, VersionReport};
use decision::Time;
use settings::fleet::Version;

const LEASE: i64 = 1000;

/// The answer to a report of this time that named `reported`.
fn answer(sent_at: i64, reported: Version, current: Version, directive: Directive) -> LeaderAnswer {
    LeaderAnswer {
        report_sent_at: Time(sent_at),
        reported_version: reported,
        current_version: current,
        directive,
    }
}

#[test]
fn fence_routes_only_under_a_confirmed_version_and_for_a_lease() {
    let mut fence = VersionFence::new(LEASE);
    assert!(fence.check(Time(0)).is_err());
    fence.version_applied(Time(0), 5);
    assert!(fence.answer_received(Time(10), &answer(1, 5, 5, Directive::Continue { epoch: 0 })));
    assert_eq!(fence.check(Time(1000)), Ok(5));
    // No longer the current version: the lease is not renewed.
    fence.answer_received(Time(600), &answer(500, 5, 6, Directive::Refetch { epoch: 0 }));
    let fenced = fence.check(Time(1001)).unwrap_err();
    assert_eq!((fenced.reason, fenced.since, fenced.version), (FenceReason::LeaseExpired, Time(1001), 5));
    fence.version_applied(Time(1100), 6);
    // An answer to a report from before the version was applied confirms nothing, nor does one that is too late.
    fence.answer_received(Time(1101), &answer(1050, 5, 6, Directive::Continue { epoch: 0 }));
    assert!(fence.check(Time(1102)).is_err());
    fence.answer_received(Time(2200), &answer(1200, 6, 6, Directive::Continue { epoch: 0 }));
    assert!(fence.check(Time(2201)).is_err());
    fence.answer_received(Time(2300), &answer(2299, 6, 6, Directive::Continue { epoch: 0 }));
    assert_eq!(fence.check(Time(2301)), Ok(6));
}

#[test]
fn fenced_out_router_returns_only_by_the_epoch_that_fenced_it_out() {
    let mut fence = VersionFence::new(LEASE);
    fence.version_applied(Time(0), 5);
    fence.answer_received(Time(1), &answer(0, 5, 5, Directive::Continue { epoch: 0 }));
    fence.answer_received(Time(3), &answer(2, 5, 6, Directive::FenceOut { epoch: 9 }));
    assert_eq!(fence.check(Time(4)).unwrap_err().reason, FenceReason::FencedOut);
    let report = |version_age, last_fence_duration, routing| VersionReport {
        version_age,
        last_fence_duration,
        routing,
        members_version: 3,
        epoch: 9,
    };
    assert_eq!(fence.report(Time(10), 3), report(10, 0, false));
    let late_answers =
        [Directive::Continue { epoch: 8 }, Directive::Refetch { epoch: 8 }, Directive::AuditDisabled];
    for late in late_answers {
        fence.version_applied(Time(5), 6);
        fence.answer_received(Time(6), &answer(5, 6, 6, late));
        assert!(fence.check(Time(7)).is_err(), "{late:?}");
    }
    fence.answer_received(Time(8), &answer(7, 6, 6, Directive::Continue { epoch: 9 }));
    assert_eq!(fence.check(Time(9)), Ok(6));
    // It reports for how long it was fenced, until it applies another version without a fence.
    assert_eq!(fence.report(Time(10), 3), report(2, 5, true));
    fence.version_applied(Time(11), 7);
    assert_eq!(fence.report(Time(11), 3).last_fence_duration, 0);
}

#[test]
fn fence_lifted_in_the_instant_that_the_lease_expires_is_reported() {
    let mut fence = VersionFence::new(LEASE);
    fence.version_applied(Time(0), 5);
    fence.answer_received(Time(10), &answer(0, 5, 5, Directive::Continue { epoch: 0 }));
    fence.answer_received(Time(1000), &answer(900, 5, 5, Directive::Continue { epoch: 0 }));
    assert_eq!(fence.check(Time(1000)), Ok(5));
    // A duration of 0 would say that there was no fence.
    assert_eq!(fence.report(Time(1000), 0).last_fence_duration, 1);
}
