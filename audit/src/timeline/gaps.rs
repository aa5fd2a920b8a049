//! Finds the gaps: times during which something was wrong.
use super::intervals::CurrentVersion;
use super::{Gap, GapKind, Interval, MIN_GAP, RECORD_STOPPED_AFTER};
use crate::EntryKind;
use settings::fleet::Version;
use std::collections::{BTreeMap, BTreeSet};

/// All gaps that last long enough, by time. `last_write` is when the last batch was created.
pub(super) fn find(
    intervals: &[Interval],
    current: &[CurrentVersion],
    last_write: i64,
    now: i64,
) -> Vec<Gap> {
    let mut gaps: Vec<Gap> = intervals.iter().filter_map(|interval| of_interval(interval, current)).collect();
    gaps.extend(of_concurrent_versions(intervals));
    if now - last_write > RECORD_STOPPED_AFTER {
        gaps.push(Gap { kind: GapKind::RecordStopped, since: last_write, until: None });
    }
    gaps.retain(|gap| gap.until.unwrap_or(now) - gap.since >= MIN_GAP);
    gaps.sort_by_key(|gap| gap.since);
    gaps
}

fn of_interval(interval: &Interval, current: &[CurrentVersion]) -> Option<Gap> {
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

/// When a later version became the current one before the interval ended.
fn outdated_at(interval: &Interval, current: &[CurrentVersion]) -> Option<i64> {
    let later = current.iter().find(|current| {
        current.version > interval.version && interval.until.is_none_or(|until| current.since < until)
    });
    later.map(|current| current.since)
}

/// Times at which routers served by more than one version.
fn of_concurrent_versions(intervals: &[Interval]) -> Vec<Gap> {
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
            gaps.push(concurrent(versions, since, Some(change.at)));
        }
    }
    gaps.extend(open.map(|(since, versions)| concurrent(versions, since, None)));
    gaps
}

fn concurrent(versions: BTreeSet<Version>, since: i64, until: Option<i64>) -> Gap {
    Gap { kind: GapKind::ConcurrentVersions(versions.into_iter().collect()), since, until }
}

/// A router starts or stops serving by a version. Of changes at one time the stops come first: a router that switches to
/// the next version serves by one at a time.
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
