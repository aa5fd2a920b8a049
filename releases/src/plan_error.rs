//! Why a release can't start.
use crate::version::Version;
use thiserror::Error;

/// Why a release can't start. Nothing has been updated.
#[derive(Debug, Error, PartialEq)]
pub enum PlanError {
    /// The version is not among the known ones.
    #[error("{0} is not known: release one of those that the store or the packages list")]
    UnknownVersion(Version),
    /// The fleet runs the version already.
    #[error("the fleet runs {0} already: name another version")]
    AlreadyRunning(Version),
    /// The target and the last good version are of different kinds, so that there is no rollback.
    #[error("expected the last good version to be of the same kind as {target}, found {last_good}")]
    MixedVersionKinds {
        /// What shall be released.
        target: Version,
        /// What a rollback would return to.
        last_good: Version,
    },
    /// The plan has no routers.
    #[error("there are no routers to update: see `fleet status`")]
    NoRouters,
    /// A router's zone is not in the order of zones.
    #[error("router '{router}' is in zone '{zone}', which the order of zones leaves out: add it")]
    ZoneNotOrdered {
        /// The router.
        router: String,
        /// Its zone.
        zone: String,
    },
    /// A setting can't be used.
    #[error("expected {expected} in 'release.{key}', found {found}")]
    InvalidSetting {
        /// The key below `release`.
        key: &'static str,
        /// What the value must be.
        expected: &'static str,
        /// The value found there.
        found: String,
    },
}
