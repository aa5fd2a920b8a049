//! What an operator asks to release.
use crate::plan_error::PlanError;
use crate::settings::Settings;
use crate::version::Version;
use std::collections::{BTreeMap, BTreeSet};

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
