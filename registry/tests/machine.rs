//! The machine that follows a registry: cases one by one.
mod support;

use registry::machine::{Action, Change, Event, LeaveReason, Machine};
use support::{SECOND, handle, item, machine, member_reached, snapshot};

/// A machine that has read the key `a` at revision 10, and watches member 0.
fn following() -> Machine {
    let mut m = machine();
    assert_eq!(handle(&mut m, 0, member_reached(0, 10)), [Action::Read(0)]);
    let a = item("a", "1", 3, 9);
    let read = handle(&mut m, 0, snapshot(0, 10, std::slice::from_ref(&a)));
    assert_eq!(read, [Action::Put(a), Action::Settled(10), Action::Watch(0, 11)]);
    m
}

#[test]
fn watch_resumes_after_last_change_acted_on() {
    let mut m = following();
    handle(&mut m, 0, Event::Changes(0, vec![Change::Put(item("b", "1", 14, 14))]));
    assert_eq!(handle(&mut m, SECOND, member_reached(1, 20)), [Action::Watch(1, 15)]);
    handle(&mut m, SECOND, Event::Progress(1, 22));
    assert_eq!(handle(&mut m, SECOND, member_reached(2, 22)), [Action::Watch(2, 23)]);
}

#[test]
fn compaction_reads_snapshot_and_sees_deletions_in_between() {
    let mut m = following();
    assert_eq!(handle(&mut m, 0, Event::Compacted(0)), [Action::Read(0)]);
    let read = handle(&mut m, 0, snapshot(0, 40, &[item("b", "2", 30, 31)]));
    let expected = [
        Action::Gone("a".into()),
        Action::Put(item("b", "2", 30, 31)),
        Action::Settled(40),
        Action::Watch(0, 41),
    ];
    assert_eq!(read, expected);
    // Deleted and made again under the same name: the old one is gone first.
    let read = handle(&mut m, 0, snapshot(0, 50, &[item("b", "3", 45, 45)]));
    assert_eq!(read[..2], [Action::Gone("b".into()), Action::Put(item("b", "3", 45, 45))]);
}

#[test]
fn repeated_changes_are_skipped_and_late_ones_need_snapshot() {
    let mut m = following();
    let (b, c) = (Change::Put(item("b", "1", 12, 12)), Change::Put(item("c", "1", 13, 13)));
    handle(&mut m, 0, Event::Changes(0, vec![b.clone(), c.clone(), Change::Delete("a".into(), 14)]));
    let again = vec![b, c, Change::Put(item("a", "0", 3, 9)), Change::Delete("a".into(), 14)];
    assert_eq!(handle(&mut m, 0, Event::Changes(0, again)), [Action::Settled(14)]);
    // Something that was never seen, from before what was acted on.
    let late = vec![Change::Put(item("d", "1", 11, 11))];
    assert_eq!(handle(&mut m, 0, Event::Changes(0, late)), [Action::Read(0)]);
    // Should that read fail, no watch goes on from there.
    assert_eq!(handle(&mut m, 0, Event::Progress(0, 15)), []);
    assert_eq!(handle(&mut m, 0, member_reached(1, 15)), [Action::Read(1)]);
}

#[test]
fn lagging_or_foreign_member_is_left() {
    let mut m = following();
    let behind = LeaveReason::Behind { theirs: 9, ours: 10 };
    assert_eq!(handle(&mut m, 0, member_reached(1, 9)), [Action::Leave(1, behind)]);
    let other = Event::MemberReached { endpoint: 2, cluster: 8, revision: 99 };
    assert_eq!(
        handle(&mut m, 0, other),
        [Action::Leave(2, LeaveReason::OtherCluster { theirs: 8, ours: 7 })]
    );
    assert_eq!(handle(&mut m, 0, snapshot(1, 9, &[])), [Action::Leave(1, behind)]);
    // Two that disagree: one that stands where it should clears the suspicion each time.
    for n in 1..20 {
        assert_eq!(handle(&mut m, n * SECOND, member_reached(1, 9)), [Action::Leave(1, behind)]);
        assert_eq!(handle(&mut m, n * SECOND, member_reached(0, 10)), [Action::Watch(0, 11)]);
    }
}

#[test]
fn registry_behind_for_long_counts_as_restored() {
    let mut m = following();
    handle(&mut m, 0, member_reached(1, 5));
    assert!(matches!(handle(&mut m, 9 * SECOND, member_reached(2, 5))[..], [Action::Leave(..)]));
    assert_eq!(handle(&mut m, 10 * SECOND, member_reached(0, 5)), [Action::Read(0)]);
    let read = handle(&mut m, 10 * SECOND, snapshot(0, 5, &[item("a", "0", 3, 4)]));
    let expected =
        [Action::Restored, Action::Put(item("a", "0", 3, 4)), Action::Settled(5), Action::Watch(0, 6)];
    assert_eq!(read, expected);
    // From there on as usual.
    let next = vec![Change::Put(item("a", "1", 3, 6))];
    assert_eq!(handle(&mut m, 10 * SECOND, Event::Changes(0, next))[0], Action::Put(item("a", "1", 3, 6)));
}

#[test]
fn missed_changes_need_snapshot_from_any_member() {
    let mut m = following();
    handle(&mut m, 0, Event::ChangesMissed);
    assert_eq!(handle(&mut m, 0, member_reached(1, 10)), [Action::Read(1)]);
    let a = item("a", "1", 3, 9);
    assert_eq!(handle(&mut m, 0, snapshot(1, 12, &[a])), [Action::Settled(12), Action::Watch(1, 13)]);
    assert_eq!(handle(&mut m, 0, member_reached(1, 12)), [Action::Watch(1, 13)]);
}
