//! Single scenarios of the state machine that follows a registry.
mod support;

use registry::machine::{Action, Change, Event, LeaveReason, Machine};
use support::{SECOND, handle, item, machine, member_reached, snapshot};

/// A state machine that has read the key `a` at revision 10, and watches registry member 0.
fn following() -> Machine {
    let mut machine = machine();
    assert_eq!(handle(&mut machine, 0, member_reached(0, 10)), [Action::Read { endpoint: 0 }]);
    let a = item("a", "1", 3, 9);
    let read = handle(&mut machine, 0, snapshot(0, 10, std::slice::from_ref(&a)));
    assert_eq!(
        read,
        [Action::Put(a), Action::Synchronized { revision: 10 }, Action::Watch { endpoint: 0, from: 11 }]
    );
    machine
}

#[test]
fn watch_resumes_after_the_last_applied_change() {
    let mut machine = following();
    handle(
        &mut machine,
        0,
        Event::Changes { endpoint: 0, changes: vec![Change::Put(item("b", "1", 14, 14))] },
    );
    assert_eq!(
        handle(&mut machine, SECOND, member_reached(1, 20)),
        [Action::Watch { endpoint: 1, from: 15 }]
    );
    handle(&mut machine, SECOND, Event::Progress { endpoint: 1, revision: 22 });
    assert_eq!(
        handle(&mut machine, SECOND, member_reached(2, 22)),
        [Action::Watch { endpoint: 2, from: 23 }]
    );
}

#[test]
fn snapshot_after_compaction_reveals_missed_deletions() {
    let mut machine = following();
    assert_eq!(handle(&mut machine, 0, Event::Compacted { endpoint: 0 }), [Action::Read { endpoint: 0 }]);
    let read = handle(&mut machine, 0, snapshot(0, 40, &[item("b", "2", 30, 31)]));
    let expected = [
        Action::Deleted { key: "a".into() },
        Action::Put(item("b", "2", 30, 31)),
        Action::Synchronized { revision: 40 },
        Action::Watch { endpoint: 0, from: 41 },
    ];
    assert_eq!(read, expected);
    // The key was deleted and recreated in between: the deletion is reported before the new value.
    let read = handle(&mut machine, 0, snapshot(0, 50, &[item("b", "3", 45, 45)]));
    assert_eq!(read[..2], [Action::Deleted { key: "b".into() }, Action::Put(item("b", "3", 45, 45))]);
}

#[test]
fn repeated_changes_are_skipped_and_late_ones_require_a_snapshot() {
    let mut machine = following();
    let (b, c) = (Change::Put(item("b", "1", 12, 12)), Change::Put(item("c", "1", 13, 13)));
    handle(
        &mut machine,
        0,
        Event::Changes {
            endpoint: 0,
            changes: vec![b.clone(), c.clone(), Change::Delete { key: "a".into(), revision: 14 }],
        },
    );
    let again =
        vec![b, c, Change::Put(item("a", "0", 3, 9)), Change::Delete { key: "a".into(), revision: 14 }];
    assert_eq!(
        handle(&mut machine, 0, Event::Changes { endpoint: 0, changes: again }),
        [Action::Synchronized { revision: 14 }]
    );
    // An unknown change that is older than changes already applied.
    let late = vec![Change::Put(item("d", "1", 11, 11))];
    assert_eq!(
        handle(&mut machine, 0, Event::Changes { endpoint: 0, changes: late }),
        [Action::Read { endpoint: 0 }]
    );
    // If the full read fails, no watch resumes; the next member is read in full as well.
    assert_eq!(handle(&mut machine, 0, Event::Progress { endpoint: 0, revision: 15 }), []);
    assert_eq!(handle(&mut machine, 0, member_reached(1, 15)), [Action::Read { endpoint: 1 }]);
}

#[test]
fn lagging_member_or_member_of_another_cluster_is_not_followed() {
    let mut machine = following();
    let behind = LeaveReason::Behind { theirs: 9, ours: 10 };
    assert_eq!(
        handle(&mut machine, 0, member_reached(1, 9)),
        [Action::Leave { endpoint: 1, reason: behind }]
    );
    let other = Event::MemberReached { endpoint: 2, cluster: 8, revision: 99 };
    assert_eq!(
        handle(&mut machine, 0, other),
        [Action::Leave { endpoint: 2, reason: LeaveReason::OtherCluster { theirs: 8, ours: 7 } }]
    );
    assert_eq!(handle(&mut machine, 0, snapshot(1, 9, &[])), [Action::Leave { endpoint: 1, reason: behind }]);
    // A lagging and an up-to-date member respond in turn: the up-to-date member resets the restore detection
    // each time.
    for n in 1..20 {
        assert_eq!(
            handle(&mut machine, n * SECOND, member_reached(1, 9)),
            [Action::Leave { endpoint: 1, reason: behind }]
        );
        assert_eq!(
            handle(&mut machine, n * SECOND, member_reached(0, 10)),
            [Action::Watch { endpoint: 0, from: 11 }]
        );
    }
}

#[test]
fn registry_behind_for_the_detection_delay_counts_as_restored() {
    let mut machine = following();
    handle(&mut machine, 0, member_reached(1, 5));
    assert!(matches!(handle(&mut machine, 9 * SECOND, member_reached(2, 5))[..], [Action::Leave { .. }]));
    assert_eq!(handle(&mut machine, 10 * SECOND, member_reached(0, 5)), [Action::Read { endpoint: 0 }]);
    let read = handle(&mut machine, 10 * SECOND, snapshot(0, 5, &[item("a", "0", 3, 4)]));
    let expected = [
        Action::Restored,
        Action::Put(item("a", "0", 3, 4)),
        Action::Synchronized { revision: 5 },
        Action::Watch { endpoint: 0, from: 6 },
    ];
    assert_eq!(read, expected);
    // Later changes are applied as usual.
    let next = vec![Change::Put(item("a", "1", 3, 6))];
    assert_eq!(
        handle(&mut machine, 10 * SECOND, Event::Changes { endpoint: 0, changes: next })[0],
        Action::Put(item("a", "1", 3, 6))
    );
}

#[test]
fn missed_changes_require_a_snapshot_from_the_next_member() {
    let mut machine = following();
    handle(&mut machine, 0, Event::ChangesMissed);
    assert_eq!(handle(&mut machine, 0, member_reached(1, 10)), [Action::Read { endpoint: 1 }]);
    let a = item("a", "1", 3, 9);
    assert_eq!(
        handle(&mut machine, 0, snapshot(1, 12, &[a])),
        [Action::Synchronized { revision: 12 }, Action::Watch { endpoint: 1, from: 13 }]
    );
    assert_eq!(handle(&mut machine, 0, member_reached(1, 12)), [Action::Watch { endpoint: 1, from: 13 }]);
}
