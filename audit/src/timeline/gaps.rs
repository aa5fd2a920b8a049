//! Finds the gaps in the timeline: periods during which a condition of [`GapKind`] held.
use super::intervals::CurrentVersion;
use super::{Gap, GapKind, Interval, MIN_GAP, RECORD_STOPPED_AFTER};
use crate::EntryKind;
use settings::fleet::Version;
use std::collections::{BTreeMap, BTreeSet};

/// Returns all gaps of at least `MIN_GAP`, sorted by start time. `last_write` is when the last batch was
/// created.
pub(super) fn find(
    intervals: &[Interval],
    current: &[CurrentVersion],
    last_write: i64,
    now: i64,
) -> Vec<Gap> {
    let mut gaps: Vec<Gap> =
        intervals.iter().filter_map(|interval| interval_gap(interval, current)).collect();
    gaps.extend(concurrent_version_gaps(intervals));
    if now - last_write > RECORD_STOPPED_AFTER {
        gaps.push(Gap { kind: GapKind::RecordStopped, since: last_write, until: None });
    }
    gaps.retain(|gap| gap.until.unwrap_or(now) - gap.since >= MIN_GAP);
    gaps.sort_by_key(|gap| gap.since);
    gaps
}

fn interval_gap(interval: &Interval, current: &[CurrentVersion]) -> Option<Gap> {
    let router = interval.router.clone();
    let (kind, since) = match interval.kind {
        EntryKind::Acting => {
            let outdated_at = outdated_at(interval, current)?;
            (GapKind::OutdatedVersion(router, interval.version), outdated_at.max(interval.since))
        }
        EntryKind::FencedOut => (GapKind::FencedOut(router, interval.version), interval.since),
        EntryKind::Silent => (GapKind::Silent(router), interval.since),
        EntryKind::Notified | EntryKind::Left | EntryKind::Current => return None,
    };
    Some(Gap { kind, since, until: interval.until })
}

/// Returns when a later version became the current one, if that was before the interval ended.
fn outdated_at(interval: &Interval, current: &[CurrentVersion]) -> Option<i64> {
    let later = current.iter().find(|current| {
        current.version > interval.version && interval.until.is_none_or(|until| current.since < until)
    });
    later.map(|current| current.since)
}

/// Returns the periods during which routers routed requests under more than one version.
fn concurrent_version_gaps(intervals: &[Interval]) -> Vec<Gap> {
    let mut gaps = Vec::new();
    let mut serving: BTreeMap<Version, u64> = BTreeMap::new();
    let mut open: Option<(i64, BTreeSet<Version>)> = None;
    for change in serving_changes(intervals) {
        let routers = serving.entry(change.version).or_default();
        *routers = if change.starts { *routers + 1 } else { routers.saturating_sub(1) };
        serving.retain(|_, routers| *routers > 0);
        if serving.len() > 1 {
            let (_, versions) = open.get_or_insert((change.at, BTreeSet::new()));
            versions.extend(serving.keys());
        } else if let Some((since, versions)) = open.take() {
            gaps.push(concurrent_versions_gap(versions, since, Some(change.at)));
        }
    }
    gaps.extend(open.map(|(since, versions)| concurrent_versions_gap(versions, since, None)));
    gaps
}

fn concurrent_versions_gap(versions: BTreeSet<Version>, since: i64, until: Option<i64>) -> Gap {
    Gap { kind: GapKind::ConcurrentVersions(versions.into_iter().collect()), since, until }
}

/// The start or end of a router's use of a version. Ends sort before starts at the same time, so that a
/// router that switches to the next version never uses two at once.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ServingChange {
    at: i64,
    starts: bool,
    version: Version,
}

fn serving_changes(intervals: &[Interval]) -> Vec<ServingChange> {
    let mut changes = Vec::new();
    for interval in intervals.iter().filter(|interval| interval.kind == EntryKind::Acting) {
        let version = interval.version;
        changes.push(ServingChange { at: interval.since, starts: true, version });
        changes.extend(interval.until.map(|at| ServingChange { at, starts: false, version }));
    }
    changes.sort_unstable();
    changes
}
