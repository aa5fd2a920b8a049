//! History of when each configuration version became the current one.
use decision::Time;
use settings::fleet::Version;
use std::collections::VecDeque;

/// Maximum number of versions in the history. The lag of a router with an older version counts from the
/// oldest one here.
const MAX_VERSIONS: usize = 256;

/// How far a version is behind the current one.
pub(super) struct VersionLag {
    /// When the first later version in the history became current.
    pub(super) since: Time,
    /// Number of later versions in the history.
    pub(super) versions: u32,
}

/// Versions and when each became the current one on this leader; the last is the current one.
#[derive(Clone, Debug, Default)]
pub(super) struct VersionHistory {
    versions: VecDeque<(Version, Time)>,
}

impl VersionHistory {
    /// Adds the version to the history if it is later than every version there. Returns whether it was added.
    pub(super) fn push(&mut self, version: Version, now: Time) -> bool {
        if !self.is_later_than_all(version) {
            return false;
        }
        if self.versions.len() >= MAX_VERSIONS {
            self.versions.pop_front();
        }
        self.versions.push_back((version, now));
        true
    }

    /// Whether the version is later than the current one, or there is no current one.
    pub(super) fn is_later_than_all(&self, version: Version) -> bool {
        self.versions.back().is_none_or(|(current, _)| version > *current)
    }

    /// Returns the lag of a version; `None` if it is not behind.
    pub(super) fn lag_of(&self, version: Version) -> Option<VersionLag> {
        let mut later = self.versions.iter().filter(|(other, _)| *other > version);
        let (_, since) = later.next()?;
        Some(VersionLag { since: *since, versions: 1 + later.count() as u32 })
    }
}
