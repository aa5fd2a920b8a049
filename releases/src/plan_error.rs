//! Why a release cannot start.
use crate::version::Version;
use thiserror::Error;

/// Why a release cannot start.
#[derive(Debug, Error, PartialEq)]
pub enum PlanError {
    /// A version of the plan is not among the known versions.
    #[error("{0} is unknown: choose a version that the store or the packages list")]
    UnknownVersion(Version),
    /// The target version is the version that the fleet already runs.
    #[error("the fleet already runs {0}: choose another version")]
    AlreadyRunning(Version),
    /// The target and the last good version are of different kinds, so a rollback would not be possible.
    #[error("expected the last good version to be of the same kind as {target}, found {last_good}")]
    MixedVersionKinds {
        /// The version to release.
        target: Version,
        /// The version that a rollback would restore.
        last_good: Version,
    },
    /// The plan has no routers.
    #[error("the plan has no routers to update: `fleet status` lists the routers of the fleet")]
    NoRouters,
    /// The zone of a router is missing from the zone order.
    #[error("router '{router}' is in zone '{zone}', which is missing from the zone order: add it")]
    ZoneNotOrdered {
        /// The name of the router.
        router: String,
        /// The zone of the router.
        zone: String,
    },
    /// A setting is out of range.
    #[error("expected {expected} in 'release.{key}', found {found}")]
    InvalidSetting {
        /// The key in the `release` section.
        key: &'static str,
        /// A description of valid values.
        expected: &'static str,
        /// The invalid value that was found.
        found: String,
    },
}
