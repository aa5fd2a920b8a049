//! The state of a release in the store. The `serde` attributes determine the stored names, independently of
//! the identifiers.
use crate::{RequestStats, Settings, Version};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// The format of the snapshots in the store.
pub const SNAPSHOT_FORMAT: u32 = 1;

/// A snapshot has a format that this program cannot read.
#[derive(Debug, Error, PartialEq)]
#[error(
    "the release state in the store has format {found}, but this program reads {SNAPSHOT_FORMAT}: \
     use the program version that wrote it"
)]
pub struct FormatError {
    /// The format of the snapshot.
    pub found: u32,
}

impl FormatError {
    pub(crate) fn check(found: u32) -> Result<(), FormatError> {
        if found == SNAPSHOT_FORMAT { Ok(()) } else { Err(FormatError { found }) }
    }
}

/// The progress of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouterStep {
    /// The router is in service with the last good version; not updated yet.
    #[serde(rename = "Waiting")]
    Pending,
    /// The router is out of service for the update to the target version.
    #[serde(rename = "Moving")]
    Updating,
    /// The router is in service with the target version.
    #[serde(rename = "Moved")]
    Updated,
    /// The router was instructed to update but was not in service again in time, or has had too few requests
    /// since.
    Lost,
    /// The router is out of service for the rollback to the last good version.
    #[serde(rename = "Returning")]
    RollingBack,
    /// The router is in service with the last good version again.
    #[serde(rename = "Back")]
    RolledBack,
    /// The router was instructed to roll back but was not in service again in time.
    #[serde(rename = "Left")]
    RollbackFailed,
}

impl RouterStep {
    /// Whether the router is out of service because of the release.
    pub(crate) fn is_out(self) -> bool {
        matches!(self, RouterStep::Updating | RouterStep::RollingBack)
    }
}

/// The state of a router in a release.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouterState {
    /// The zone of the router.
    pub zone: String,
    /// The progress of the router.
    pub step: RouterStep,
    /// The number of the router's wave, from 1; 0 if the router has not been in any wave.
    pub wave: u32,
    /// The router's statistics before that wave.
    #[serde(rename = "before")]
    pub baseline: RequestStats,
}

/// Why a release is halted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Error)]
pub enum HaltReason {
    /// An operator halted the release.
    #[error("halted by an operator: resume the release or roll it back")]
    Operator,
    /// The statistics of these routers are worse than before their update and worse than those of routers not
    /// updated.
    #[error(
        "request statistics of {} are worse since the update: roll back, or resume if the update is not the \
         cause",
        .0.join(", ")
    )]
    #[serde(rename = "Worse")]
    Regressed(Vec<String>),
    /// The statistics of these routers are worse than before their update, but so are those of routers not
    /// updated.
    #[error(
        "request statistics of the whole fleet, not only of {}, are worse than before the wave: \
         find the cause, then resume or roll back",
        .0.join(", ")
    )]
    #[serde(rename = "Unwell")]
    FleetDegraded(Vec<String>),
    /// Too many routers did not return to service or have too few requests to be evaluated.
    #[error(
        "not in service again, or too few requests to evaluate: {}; \
         check these routers, then resume or roll back",
        .0.join(", ")
    )]
    #[serde(rename = "Lost")]
    RoutersLost(Vec<String>),
}

/// The phase of a release.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Phase {
    /// Routers are updated wave by wave.
    Running,
    /// No further updates start.
    Halted(HaltReason),
    /// Routers are rolled back wave by wave.
    #[serde(rename = "Undoing")]
    RollingBack,
    /// All routers except lost ones run the target version.
    #[serde(rename = "Done")]
    Completed,
    /// All routers except failed ones run the last good version.
    #[serde(rename = "Undone")]
    RolledBack,
}

/// The state of a release in the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReleaseSnapshot {
    /// The snapshot format, [`SNAPSHOT_FORMAT`].
    pub format: u32,
    /// The name of the release, which owns the reservations.
    pub name: String,
    /// The version that the routers ran before, which a rollback restores.
    #[serde(rename = "good")]
    pub last_good: Version,
    /// The version that is rolled out.
    #[serde(rename = "target")]
    pub target_version: Version,
    /// The settings of the release.
    pub settings: Settings,
    /// The zones, in the order in which they are updated.
    #[serde(rename = "zones")]
    pub zone_order: Vec<String>,
    /// The phase of the release.
    pub phase: Phase,
    /// Whether the release is being rolled back, or was before it was halted.
    #[serde(rename = "back")]
    pub is_rollback: bool,
    /// The number of the latest wave.
    pub wave: u32,
    /// The largest number of routers in the next wave of the same zone.
    #[serde(rename = "size")]
    pub next_wave_size: u32,
    /// The zone of the latest wave.
    #[serde(rename = "zone")]
    pub wave_zone: Option<String>,
    /// The routers of the latest wave; empty after the wave has ended.
    #[serde(rename = "batch")]
    pub wave_routers: BTreeSet<String>,
    /// All routers, by name.
    pub routers: BTreeMap<String, RouterState>,
    /// How often the release was restored; part of request IDs, so that they are never reused.
    #[serde(rename = "life")]
    pub incarnation: u32,
}

impl ReleaseSnapshot {
    /// The progress of a router.
    pub(crate) fn step(&self, router: &str) -> RouterStep {
        self.routers[router].step
    }

    /// The routers at this step, with their names.
    pub(crate) fn routers_at(&self, step: RouterStep) -> impl Iterator<Item = (&String, &RouterState)> {
        self.routers.iter().filter(move |(_, state)| state.step == step)
    }

    /// The number of lost routers.
    pub(crate) fn lost_count(&self) -> u32 {
        self.routers_at(RouterStep::Lost).count() as u32
    }

    /// The version that a router at this step, which is out of service, is to run.
    pub(crate) fn version_at_step(&self, step: RouterStep) -> &Version {
        if step == RouterStep::RollingBack { &self.last_good } else { &self.target_version }
    }

    /// Raises the size of the next wave.
    pub(crate) fn grow_wave(&mut self) {
        let increased = self.next_wave_size.saturating_mul(self.settings.wave_growth);
        self.next_wave_size = increased.min(self.settings.max_wave_size);
    }
}
