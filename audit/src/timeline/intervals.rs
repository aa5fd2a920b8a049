//! Converts entries of the audit record into intervals.
use super::Interval;
use crate::{Batch, Entry, EntryKind};
use settings::fleet::Version;
use std::collections::{BTreeMap, BTreeSet};

/// A version, and when it became the current one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CurrentVersion {
    pub(super) since: i64,
    pub(super) version: Version,
}

/// Returns the intervals of all routers, sorted by router and time, and the current versions, sorted by time.
pub(super) fn from_batches(batches: &[Batch]) -> (Vec<Interval>, Vec<CurrentVersion>) {
    let mut ordered: Vec<&Batch> = batches.iter().collect();
    ordered.sort_by_key(|batch| batch.seq);
    let mut by_router: BTreeMap<&str, Vec<&Entry>> = BTreeMap::new();
    let mut current = BTreeSet::new();
    for entry in ordered.iter().flat_map(|batch| &batch.entries) {
        if entry.kind == EntryKind::Current {
            current.insert(CurrentVersion { since: entry.since, version: entry.version });
            continue;
        }
        let entries = by_router.entry(&entry.router).or_default();
        // An entry that was carried over is in more than one batch.
        if !entries.contains(&entry) {
            entries.push(entry);
        }
    }
    let intervals = by_router.into_values().flat_map(router_intervals).collect();
    (intervals, current.into_iter().collect())
}

fn router_intervals(mut entries: Vec<&Entry>) -> Vec<Interval> {
    entries.sort_by_key(|entry| entry.since);
    let mut intervals: Vec<Interval> = Vec::new();
    for entry in entries {
        if let Some(last) = intervals.last_mut() {
            if continues_interval(last, entry) {
                continue;
            }
            last.until = Some(entry.since.max(last.since));
        }
        intervals.push(interval_from_entry(entry));
    }
    intervals
}

/// Whether an entry leaves the interval unchanged. A notification does not end an interval, nor does the
/// first entry of a new leader.
fn continues_interval(last: &Interval, entry: &Entry) -> bool {
    matches!(entry.kind, EntryKind::Notified | EntryKind::Acting)
        && last.kind == EntryKind::Acting
        && (last.incarnation, last.version) == (entry.incarnation, entry.version)
}

fn interval_from_entry(entry: &Entry) -> Interval {
    Interval {
        router: entry.router.clone(),
        incarnation: entry.incarnation,
        version: entry.version,
        members_version: entry.members_version,
        since: entry.since,
        until: None,
        kind: if entry.kind == EntryKind::Notified { EntryKind::Acting } else { entry.kind },
        epoch: entry.epoch,
    }
}
