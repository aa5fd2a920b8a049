//! Tests of the audit record in the store: its size is bounded, and the next leader continues it.
use crate::harness::TrackerHarness;
use audit::{Batch, EntryKind, Event, MAX_BATCH_BYTES, RING_SLOTS, VersionReport};

/// Maximum size of a batch's entries as JSON.
fn max_bytes(batch: &Batch) -> usize {
    batch.entries.iter().map(|entry| 200 + entry.router.len()).sum()
}

#[test]
fn audit_record_is_bounded_and_next_leader_continues_it() {
    let mut harness = TrackerHarness::new();
    harness.report(1, "still", 5, 0);
    for i in 0..600 {
        let version = 6 + i as u64;
        harness.set_version(1000 + i * 1000, version);
        harness.report(1000 + i * 1000 + 1, "a", version, 0);
        harness.report(1000 + i * 1000 + 2, "still", 5, 0);
        harness.tick_and_commit(1000 + i * 1000 + 3);
    }
    assert!(harness.writes.len() <= 601 && harness.writes.iter().map(|batch| batch.seq).is_sorted());
    let stored: Vec<Batch> = harness.writes[harness.writes.len() - RING_SLOTS as usize..].to_vec();
    // A router's latest entry is in the store, whatever its age.
    let has_entry =
        |router: &str| stored.iter().flat_map(|batch| &batch.entries).any(|entry| entry.router == router);
    assert!(has_entry("still") && has_entry("a"));
    assert!(stored.iter().all(|batch| max_bytes(batch) <= MAX_BATCH_BYTES));
    let mut next = TrackerHarness::new();
    next.gain_leadership(700_000, 2, stored);
    next.set_version(700_000, 605);
    next.tick(702_000);
    assert_eq!(next.recorded("a"), [(EntryKind::Silent, 605)]);
    assert!(next.writes[0].seq > harness.writes.last().unwrap().seq);
    // A write that is not known to be committed is repeated.
    let first = next.writes[0].clone();
    next.handle(702_001, Event::WriteCompleted { seq: first.seq, committed: false });
    next.tick_and_commit(704_000);
    assert_eq!((next.writes[1].seq, &next.writes[1].entries), (first.seq, &first.entries));
}

#[test]
fn entries_of_a_router_that_left_are_not_carried_over() {
    let mut harness = TrackerHarness::new();
    harness.report(1, "still", 5, 0);
    harness.report(1, "gone", 5, 0);
    let leaving = Event::ReportReceived {
        router: "gone".into(),
        incarnation: 1,
        version: 5,
        report: VersionReport::default(),
        leaving: true,
    };
    harness.handle(2, leaving);
    // The tracker writes one heartbeat every 5 s, until every slot of the ring is replaced.
    for i in 0..2 * RING_SLOTS as i64 {
        harness.report(i * 5000, "still", 5, 0);
        harness.report(i * 5000 + 1900, "still", 5, 0);
        harness.report(i * 5000 + 3800, "still", 5, 0);
        harness.tick_and_commit(i * 5000 + 4000);
    }
    let stored = &harness.writes[harness.writes.len() - RING_SLOTS as usize..];
    let has_entry =
        |router: &str| stored.iter().flat_map(|batch| &batch.entries).any(|entry| entry.router == router);
    assert!(has_entry("still") && !has_entry("gone"));
}
