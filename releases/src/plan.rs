//! What an operator asks to release.
use crate::Settings;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use thiserror::Error;

/// What is released.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Version {
    /// A configuration, by its revision in the store.
    #[serde(rename = "Config")]
    Configuration(settings::fleet::Version),
    /// A program, by its name.
    Program(String),
}

impl Version {
    fn is_same_kind(&self, other: &Version) -> bool {
        matches!(self, Version::Configuration(_)) == matches!(other, Version::Configuration(_))
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Version::Configuration(revision) => write!(f, "configuration {revision}"),
            Version::Program(name) => write!(f, "program {name}"),
        }
    }
}

/// What an operator asks to release.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Name of the release: it owns the reservations and no other owner has it.
    pub name: String,
    /// What the routers run, and what a rollback returns them to.
    pub last_good: Version,
    /// What the routers shall run.
    pub target_version: Version,
    /// Versions that may be released.
    pub known_versions: BTreeSet<Version>,
    /// The zones, in the order in which they are updated.
    pub zone_order: Vec<String>,
    /// The routers, each with its zone.
    pub routers: BTreeMap<String, String>,
}

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

impl Plan {
    /// Checks the plan and the settings that it would be carried out with.
    pub(crate) fn check(&self, settings: &Settings) -> Result<(), PlanError> {
        settings.check()?;
        for version in [&self.target_version, &self.last_good] {
            if !self.known_versions.contains(version) {
                return Err(PlanError::UnknownVersion(version.clone()));
            }
        }
        if self.target_version == self.last_good {
            return Err(PlanError::AlreadyRunning(self.last_good.clone()));
        }
        if !self.target_version.is_same_kind(&self.last_good) {
            let (target, last_good) = (self.target_version.clone(), self.last_good.clone());
            return Err(PlanError::MixedVersionKinds { target, last_good });
        }
        if self.routers.is_empty() {
            return Err(PlanError::NoRouters);
        }
        let unordered = self.routers.iter().find(|(_, zone)| !self.zone_order.contains(zone));
        if let Some((router, zone)) = unordered {
            return Err(PlanError::ZoneNotOrdered { router: router.clone(), zone: zone.clone() });
        }
        Ok(())
    }
}
