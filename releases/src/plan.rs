//! The plan of a release, as an operator requests it.
use crate::plan_error::PlanError;
use crate::settings::Settings;
use crate::version::Version;
use std::collections::{BTreeMap, BTreeSet};

/// The plan of a release, as an operator requests it.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The name of the release. It is the owner of the reservations, so it must be unique among owners.
    pub name: String,
    /// The version that the routers run, which a rollback restores.
    pub last_good: Version,
    /// The version to update the routers to.
    pub target_version: Version,
    /// The versions that may be released.
    pub known_versions: BTreeSet<Version>,
    /// The zones, in the order in which they are updated.
    pub zone_order: Vec<String>,
    /// The routers, each with its zone.
    pub routers: BTreeMap<String, String>,
}

impl Plan {
    /// Validates the plan and the settings of its release.
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
