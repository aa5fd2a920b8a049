//! Tests of the timeline that operators see.
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
fn timeline_has_the_version_of_each_router_and_every_gap() {
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
    let timeline = build(&batches, 15 * SECOND, &Query::default());
    let gaps: Vec<_> = timeline.gaps.iter().map(|gap| (gap.kind.clone(), gap.since, gap.until)).collect();
    assert_eq!(
        gaps,
        [
            (GapKind::Silent("c".into()), 9 * SECOND, None),
            (GapKind::OutdatedVersion("b".into(), 5), 10 * SECOND, Some(13 * SECOND)),
            (GapKind::ConcurrentVersions(vec![5, 9]), 10 * SECOND + 100, Some(13 * SECOND)),
            (GapKind::FencedOut("b".into(), 5), 13 * SECOND, None),
        ]
    );
    assert!(timeline.has_open_gap() && timeline.intervals.len() == 6);
    let up_to_date_entries =
        vec![entry("b", 9, 16 * SECOND, EntryKind::Acting), entry("c", 9, 16 * SECOND, EntryKind::Acting)];
    batches.push(batch(2, 16 * SECOND, up_to_date_entries));
    let single_router_query = Query { since: 14 * SECOND, router: Some("b".into()) };
    let timeline = build(&batches, 17 * SECOND, &single_router_query);
    assert!(!timeline.has_open_gap() && timeline.intervals.len() == 2, "{timeline:?}");
    let timeline = build(&batches, 40 * SECOND, &Query::default());
    assert_eq!(timeline.gaps.last().unwrap().kind, GapKind::RecordStopped);
}
