//! The audit record as operators see it: which router routed requests under which version and when, and the
//! gaps.
//!
//! The serialized names are those in the output of `damsonvale fleet audit --json`.
mod gaps;
mod intervals;

use crate::{Batch, EntryKind};
use serde::Serialize;
use settings::fleet::Version;

/// Minimum duration of a gap in microseconds: routers learn of a version within two reports, and the audit
/// record is written once a second.
pub const MIN_GAP: i64 = 1_500_000;
/// The audit record counts as stopped after this time without a new batch, in microseconds: three heartbeat
/// intervals.
pub const RECORD_STOPPED_AFTER: i64 = 15_000_000;

/// A period during which a router's state and version did not change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Interval {
    /// Name of the router.
    pub router: String,
    /// Incarnation of the router's process.
    #[serde(rename = "start")]
    pub incarnation: u64,
    /// Configuration version that the router held.
    pub version: Version,
    /// Version of the router's member list at the start of the interval.
    #[serde(rename = "members")]
    pub members_version: u64,
    /// Start, Unix time in microseconds.
    #[serde(rename = "from")]
    pub since: i64,
    /// End, Unix time in microseconds; `None` if it has not ended.
    pub until: Option<i64>,
    /// The router's state: [`EntryKind::Acting`], [`EntryKind::FencedOut`], [`EntryKind::Silent`] or
    /// [`EntryKind::Left`].
    pub kind: EntryKind,
    /// The router's epoch, from the entry that began the interval.
    pub epoch: u64,
}

impl Interval {
    /// Whether the interval has not ended or ended at `time` or later.
    fn lasts_until(&self, time: i64) -> bool {
        self.until.is_none_or(|until| until >= time)
    }
}

/// What was wrong during a [`Gap`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum GapKind {
    /// Routers routed requests under these versions at the same time.
    #[serde(rename = "two_versions")]
    ConcurrentVersions(Vec<Version>),
    /// The router of this name routed requests under this version, which was no longer the current one.
    #[serde(rename = "not_current")]
    OutdatedVersion(String, Version),
    /// The router of this name was fenced out while it held this version.
    #[serde(rename = "shut_out")]
    FencedOut(String, Version),
    /// The router of this name did not report.
    Silent(String),
    /// The leader does not write the audit record.
    #[serde(rename = "stopped")]
    RecordStopped,
}

impl GapKind {
    /// The router that the gap concerns; `None` if the gap concerns the whole fleet.
    fn router(&self) -> Option<&str> {
        match self {
            GapKind::OutdatedVersion(router, _) | GapKind::FencedOut(router, _) | GapKind::Silent(router) => {
                Some(router)
            }
            GapKind::ConcurrentVersions(_) | GapKind::RecordStopped => None,
        }
    }
}

/// A period during which a condition of [`GapKind`] held.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Gap {
    /// The condition that held during the period.
    #[serde(rename = "what")]
    pub kind: GapKind,
    /// Start, Unix time in microseconds.
    #[serde(rename = "from")]
    pub since: i64,
    /// End, Unix time in microseconds; `None` if it has not ended.
    pub until: Option<i64>,
}

/// Selects a part of the timeline.
#[derive(Clone, Debug, Default)]
pub struct Query {
    /// Excludes everything that ended before this time, Unix time in microseconds.
    pub since: i64,
    /// Includes only this router, and gaps of the whole fleet.
    pub router: Option<String>,
}

impl Query {
    fn includes_router(&self, name: &str) -> bool {
        self.router.as_deref().is_none_or(|router| router == name)
    }
}

/// The audit record as intervals and gaps.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Timeline {
    /// The intervals, sorted by router and start time.
    #[serde(rename = "rows")]
    pub intervals: Vec<Interval>,
    /// The gaps, sorted by start time.
    pub gaps: Vec<Gap>,
}

impl Timeline {
    /// Whether any gap has not ended.
    pub fn has_open_gap(&self) -> bool {
        self.gaps.iter().any(|gap| gap.until.is_none())
    }
}

/// Builds the timeline from the batches in the store. `now` is the Unix time in microseconds.
pub fn build(batches: &[Batch], now: i64, query: &Query) -> Timeline {
    let (mut intervals, current) = intervals::from_batches(batches);
    let last_write = batches.iter().map(|batch| batch.created_at).max().unwrap_or(0);
    let mut gaps = gaps::find(&intervals, &current, last_write, now);
    gaps.retain(|gap| {
        gap.until.unwrap_or(now) >= query.since
            && gap.kind.router().is_none_or(|router| query.includes_router(router))
    });
    intervals.retain(|interval| query.includes_router(&interval.router) && interval.lasts_until(query.since));
    Timeline { intervals, gaps }
}
