//! The operators' view of the record.
use audit::timeline::{GapKind, Query, build};
use audit::{Batch, Entry, EntryKind};
use settings::fleet::Version;

const SECOND: i64 = 1_000_000;

fn entry(router: &str, version: Version, since: i64, kind: EntryKind) -> Entry {
    Entry {
        router: router.into(),
        incarnation: 1,
        version,
        members_version: 0,
        since,
        kind,
        epoch: 0,
        term: 1,
    }
}

fn batch(seq: u64, created_at: i64, entries: Vec<Entry>) -> Batch {
    Batch { seq, term: 1, created_at, entries }
}

#[test]
fn timeline_shows_who_served_by_which_version_and_every_gap() {
    let first = vec![
        entry("", 5, 0, EntryKind::Current),
        entry("a", 5, 0, EntryKind::Acting),
        entry("b", 5, 0, EntryKind::Acting),
        entry("c", 5, 0, EntryKind::Acting),
    ];
    let second = vec![
        entry("c", 5, 0, EntryKind::Acting),
        entry("", 9, 10 * SECOND, EntryKind::Current),
        entry("a", 9, 10 * SECOND + 100, EntryKind::Acting),
        entry("b", 5, 11 * SECOND, EntryKind::Notified),
        entry("b", 5, 13 * SECOND, EntryKind::FencedOut),
        entry("c", 5, 9 * SECOND, EntryKind::Silent),
    ];
    let mut batches = vec![batch(1, 14 * SECOND, second), batch(0, SECOND, first)];
    let shown = build(&batches, 15 * SECOND, &Query::default());
    let gaps: Vec<_> = shown.gaps.iter().map(|gap| (gap.kind.clone(), gap.since, gap.until)).collect();
    assert_eq!(
        gaps,
        [
            (GapKind::Silent("c".into()), 9 * SECOND, None),
            (GapKind::OutdatedVersion("b".into(), 5), 10 * SECOND, Some(13 * SECOND)),
            (GapKind::ConcurrentVersions(vec![5, 9]), 10 * SECOND + 100, Some(13 * SECOND)),
            (GapKind::FencedOut("b".into(), 5), 13 * SECOND, None),
        ]
    );
    assert!(shown.has_open_gap() && shown.intervals.len() == 6);
    let back =
        vec![entry("b", 9, 16 * SECOND, EntryKind::Acting), entry("c", 9, 16 * SECOND, EntryKind::Acting)];
    batches.push(batch(2, 16 * SECOND, back));
    let of_one_router = Query { since: 14 * SECOND, router: Some("b".into()) };
    let shown = build(&batches, 17 * SECOND, &of_one_router);
    assert!(!shown.has_open_gap() && shown.intervals.len() == 2, "{shown:?}");
    let shown = build(&batches, 40 * SECOND, &Query::default());
    assert_eq!(shown.gaps.last().unwrap().kind, GapKind::RecordStopped);
}
