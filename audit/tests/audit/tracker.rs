//! Tests of the leader's part of the audit: which routers are notified and fenced out, and what is recorded
//! of them.
use crate::harness::{MS, TrackerHarness};
use audit::{Batch, Directive, EntryKind, VersionReport};

#[test]
fn lagging_router_is_notified_then_fenced_out_until_it_reports_current_version_and_epoch() {
    let mut harness = TrackerHarness::new();
    assert_eq!(harness.report(100, "a", 5, 0), Directive::Continue { epoch: 0 });
    harness.set_version(1000, 9);
    let mut notified = 0;
    let mut at = 1000;
    let epoch = loop {
        at += 100;
        match harness.report(at, "a", 5, 0) {
            Directive::Refetch { .. } => notified += 1,
            Directive::FenceOut { epoch } => break epoch,
            _ => assert!(at < 1800 || notified > 0, "{at}"),
        }
    };
    assert!(notified == 3 && (2200..=2900).contains(&at) && epoch > 1 << 32, "{notified} {at} {epoch}");
    // A fenced router has to report the current version together with the epoch: neither lifts the fence
    // alone.
    assert_eq!(harness.report(at + 1, "a", 9, 0), Directive::FenceOut { epoch });
    assert_eq!(harness.report(at + 2, "a", 5, epoch), Directive::FenceOut { epoch });
    assert_eq!(harness.report(at + 3, "a", 9, epoch), Directive::Continue { epoch });
    assert_eq!(
        harness.recorded("a"),
        [(EntryKind::Acting, 5), (EntryKind::Notified, 5), (EntryKind::FencedOut, 5), (EntryKind::Acting, 9)]
    );
}

#[test]
fn router_silent_during_a_version_change_is_fenced_out_at_its_next_report() {
    let mut harness = TrackerHarness::new();
    harness.report(100, "a", 5, 0);
    harness.report(100, "b", 5, 0);
    harness.set_version(1000, 9);
    harness.tick(1900);
    assert_eq!(harness.recorded("a").len(), 1);
    harness.tick(2100);
    let Directive::FenceOut { epoch } = harness.report(4000, "a", 5, 0) else { panic!("a: not fenced out") };
    assert_eq!(harness.report(4001, "a", 9, epoch), Directive::Continue { epoch });
    assert_eq!(
        harness.recorded("a"),
        [(EntryKind::Acting, 5), (EntryKind::Silent, 5), (EntryKind::FencedOut, 5), (EntryKind::Acting, 9)]
    );
    // A new incarnation may still fetch its first version and is not fenced out because of the previous one.
    for (at, version) in [(4000, 0), (4001, 9)] {
        let directive = harness.report_with(at, "b", 2, version, VersionReport::default());
        assert_eq!(directive, Directive::Continue { epoch: 0 });
    }
    assert_eq!(
        harness.recorded("b"),
        [(EntryKind::Acting, 5), (EntryKind::Silent, 5), (EntryKind::Acting, 9)]
    );
}

#[test]
fn fence_known_only_to_the_router_is_recorded_from_its_report() {
    let mut harness = TrackerHarness::new();
    harness.report(100, "a", 5, 0);
    let stored = vec![Batch { seq: 0, term: 1, created_at: 0, entries: harness.entries.clone() }];
    let mut next = TrackerHarness::new();
    next.gain_leadership(5000, 2, stored);
    next.set_version(5000, 5);
    // The router had fenced itself 1 s before this leader's term began; its version was confirmed at 5.1 s.
    for (at, age, fenced) in [(5100, 5000, 0), (5300, 200, 1100), (5500, 400, 1100)] {
        let report = VersionReport {
            version_age: age * MS,
            last_fence_duration: fenced * MS,
            routing: true,
            members_version: 0,
            epoch: 0,
        };
        next.report_with(at, "a", 1, 5, report);
    }
    let router_entries = next.entries.iter().filter(|entry| entry.router == "a");
    let recorded: Vec<_> = router_entries.map(|entry| (entry.kind, entry.since / MS)).collect();
    assert_eq!(recorded, [(EntryKind::Silent, 4000), (EntryKind::Acting, 5100)]);
}

#[test]
fn router_that_keeps_up_is_not_fenced_out_by_a_hundred_versions_in_a_second() {
    let mut harness = TrackerHarness::new();
    for i in 1..=100 {
        harness.set_version(i * 10, 5 + i as u64);
        if i % 20 == 0 {
            // The router has the version that was current at its last report.
            let version = 5 + i as u64 - 20;
            let directive = harness.report(i * 10, "a", version, 0);
            assert!(!matches!(directive, Directive::FenceOut { .. }));
        }
    }
    // Each version that the router held is recorded.
    let versions: Vec<_> = harness.recorded("a").iter().map(|(_, version)| *version).collect();
    assert_eq!(versions, [5, 25, 45, 65, 85]);
    assert_eq!(harness.report(1001, "a", 105, 0), Directive::Continue { epoch: 0 });
    // A version that is received out of order changes nothing.
    harness.set_version(1002, 50);
    assert_eq!(harness.report(1003, "a", 105, 0), Directive::Continue { epoch: 0 });
    assert!(harness.recorded("a").iter().all(|(kind, _)| *kind == EntryKind::Acting));
}

#[test]
fn router_that_updates_after_a_notification_is_not_fenced_out_for_later_versions() {
    let mut harness = TrackerHarness::new();
    harness.report(100, "a", 5, 0);
    harness.set_version(200, 6);
    harness.set_version(900, 7);
    let mut directive = Directive::AuditDisabled;
    (1..=4).for_each(|i| directive = harness.report(900 + i * 100, "a", 5, 0));
    assert_eq!(harness.recorded("a").last(), Some(&(EntryKind::Notified, 5)));
    assert!(!matches!(directive, Directive::FenceOut { .. }));
    // The router now lags behind the next version, for less than the limit.
    assert!((14..17).all(|i| harness.report(i * 100, "a", 6, 0) == Directive::Continue { epoch: 0 }));
    harness.report(1695, "a", 7, 0);
    harness.set_version(1700, 8);
    assert!((0..7).all(|i| harness.report(1700 + i * 100, "a", 7, 0) == Directive::Continue { epoch: 0 }));
}
