//! An operator's view of the record: which router served by which version from when to when, and the gaps.
//!
//! The serialized names are those that `damsonvale fleet audit --json` prints.
mod gaps;
mod intervals;

use crate::{Batch, EntryKind};
use serde::Serialize;
use settings::fleet::Version;

/// What lasted less than this is no gap, in microseconds: routers learn of a version within two reports, and the record
/// is written once a second.
pub const MIN_GAP: i64 = 1_500_000;
/// A record without a new batch for this long has stopped, in microseconds: three heartbeat intervals.
pub const RECORD_STOPPED_AFTER: i64 = 15_000_000;

/// A time over which a router did not change what it did.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Interval {
    /// Name of the router.
    pub router: String,
    /// Incarnation of its process.
    #[serde(rename = "start")]
    pub incarnation: u64,
    /// Version that it held.
    pub version: Version,
    /// Version of its member list as the interval began.
    #[serde(rename = "members")]
    pub members_version: u64,
    /// Since when, Unix time in microseconds.
    #[serde(rename = "from")]
    pub since: i64,
    /// Until when, Unix time in microseconds; `None` while it lasts.
    pub until: Option<i64>,
    /// What it did: [`EntryKind::Acting`], [`EntryKind::FencedOut`], [`EntryKind::Silent`] or [`EntryKind::Left`].
    pub kind: EntryKind,
    /// The router's epoch.
    pub epoch: u64,
}

impl Interval {
    /// Whether the interval still lasts or ended at `time` or later.
    fn lasts_until(&self, time: i64) -> bool {
        self.until.is_none_or(|until| until >= time)
    }
}

/// What is wrong during a [`Gap`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum GapKind {
    /// Routers served by these versions at once.
    #[serde(rename = "two_versions")]
    ConcurrentVersions(Vec<Version>),
    /// This router served by this version, which was no longer the current one.
    #[serde(rename = "not_current")]
    OutdatedVersion(String, Version),
    /// This router was fenced out with this version.
    #[serde(rename = "shut_out")]
    FencedOut(String, Version),
    /// This router was silent.
    Silent(String),
    /// The leader writes no record.
    #[serde(rename = "stopped")]
    RecordStopped,
}

impl GapKind {
    /// The router that the gap is about, unless it is about the whole fleet.
    fn router(&self) -> Option<&str> {
        match self {
            GapKind::OutdatedVersion(router, _) | GapKind::FencedOut(router, _) | GapKind::Silent(router) => {
                Some(router)
            }
            GapKind::ConcurrentVersions(_) | GapKind::RecordStopped => None,
        }
    }
}

/// A time during which something was wrong.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Gap {
    /// What was wrong.
    #[serde(rename = "what")]
    pub kind: GapKind,
    /// Since when, Unix time in microseconds.
    #[serde(rename = "from")]
    pub since: i64,
    /// Until when, Unix time in microseconds; `None` while it lasts.
    pub until: Option<i64>,
}

/// Which part of the timeline is wanted.
#[derive(Clone, Debug, Default)]
pub struct Query {
    /// Only what lasted until this time or later, Unix time in microseconds.
    pub since: i64,
    /// Only this router, and gaps of the whole fleet.
    pub router: Option<String>,
}

impl Query {
    fn includes_router(&self, name: &str) -> bool {
        self.router.as_deref().is_none_or(|wanted| wanted == name)
    }
}

/// The operator's view.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Timeline {
    /// The intervals, by router and time.
    #[serde(rename = "rows")]
    pub intervals: Vec<Interval>,
    /// The gaps, by time.
    pub gaps: Vec<Gap>,
}

impl Timeline {
    /// Whether a gap still lasts.
    pub fn has_open_gap(&self) -> bool {
        self.gaps.iter().any(|gap| gap.until.is_none())
    }
}

/// The timeline that the batches in the store give at `now`, Unix time in microseconds.
pub fn build(batches: &[Batch], now: i64, query: &Query) -> Timeline {
    let (mut intervals, current) = intervals::of_batches(batches);
    let last_write = batches.iter().map(|batch| batch.created_at).max().unwrap_or(0);
    let mut gaps = gaps::find(&intervals, &current, last_write, now);
    gaps.retain(|gap| {
        gap.until.unwrap_or(now) >= query.since
            && gap.kind.router().is_none_or(|router| query.includes_router(router))
    });
    intervals.retain(|interval| query.includes_router(&interval.router) && interval.lasts_until(query.since));
    Timeline { intervals, gaps }
}
