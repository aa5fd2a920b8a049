//! State of a release in the store. The stored names are fixed by the `serde` attributes, whatever the code calls them.
use crate::{RequestStats, Settings, Version};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Format of the snapshots in the store.
pub const SNAPSHOT_FORMAT: u32 = 1;

/// A snapshot has a format that this program can't read.
#[derive(Debug, Error, PartialEq)]
#[error(
    "the state of releases in the store has format {found}, this program reads {SNAPSHOT_FORMAT}: \
     run the program that wrote it"
)]
pub struct FormatError {
    /// The snapshot's format.
    pub found: u32,
}

impl FormatError {
    pub(crate) fn check(found: u32) -> Result<(), FormatError> {
        if found == SNAPSHOT_FORMAT { Ok(()) } else { Err(FormatError { found }) }
    }
}

/// Progress of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouterStep {
    /// Not updated yet.
    #[serde(rename = "Waiting")]
    Pending,
    /// Out of service, to be updated to the target version.
    #[serde(rename = "Moving")]
    Updating,
    /// At the target version.
    #[serde(rename = "Moved")]
    Updated,
    /// It was instructed to update and is not back in time, or has had too few requests since.
    Lost,
    /// Out of service, to return to the last good version.
    #[serde(rename = "Returning")]
    RollingBack,
    /// At the last good version again.
    #[serde(rename = "Back")]
    RolledBack,
    /// It was instructed to roll back and is not back in time.
    #[serde(rename = "Left")]
    RollbackFailed,
}

impl RouterStep {
    /// Whether the router is out of service for the release.
    pub(crate) fn is_out(self) -> bool {
        matches!(self, RouterStep::Updating | RouterStep::RollingBack)
    }
}

/// A router of a release.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouterState {
    /// Its zone.
    pub zone: String,
    /// Its progress.
    pub step: RouterStep,
    /// The wave that it is part of, from 1; 0 before.
    pub wave: u32,
    /// Its statistics before that wave.
    #[serde(rename = "before")]
    pub baseline: RequestStats,
}

/// Why a release is halted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Error)]
pub enum HaltReason {
    /// An operator halted it.
    #[error("halted by an operator: resume or undo it")]
    Operator,
    /// These routers are worse than before their update and than those not updated.
    #[error("worse since the update: {}; undo it, or resume it if the cause is another", .0.join(", "))]
    #[serde(rename = "Worse")]
    Regressed(Vec<String>),
    /// These routers are worse than before their update, and so are those not updated.
    #[error(
        "the whole fleet is worse than before the wave, not only {}: look for the cause, then resume or undo",
        .0.join(", ")
    )]
    #[serde(rename = "Unwell")]
    FleetDegraded(Vec<String>),
    /// Too many routers did not come back, or have too few requests to be judged.
    #[error(
        "no answer, or too few requests to judge, from {}: look after them, then resume or undo",
        .0.join(", ")
    )]
    #[serde(rename = "Lost")]
    RoutersLost(Vec<String>),
}

/// Where a release stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Phase {
    /// Routers are updated wave by wave.
    Running,
    /// Nothing new starts.
    Halted(HaltReason),
    /// Routers are rolled back wave by wave.
    #[serde(rename = "Undoing")]
    RollingBack,
    /// All routers but lost ones are at the target version.
    #[serde(rename = "Done")]
    Completed,
    /// All routers but lost ones are at the last good version.
    #[serde(rename = "Undone")]
    RolledBack,
}

/// State of a release in the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReleaseSnapshot {
    /// [`SNAPSHOT_FORMAT`].
    pub format: u32,
    /// Name of the release, which owns the reservations.
    pub name: String,
    /// The last good version.
    #[serde(rename = "good")]
    pub last_good: Version,
    /// The version that is released.
    #[serde(rename = "target")]
    pub target_version: Version,
    /// How the release is carried out.
    pub settings: Settings,
    /// The zones, in the order in which they are updated.
    #[serde(rename = "zones")]
    pub zone_order: Vec<String>,
    /// Where the release stands.
    pub phase: Phase,
    /// Whether it rolls back, or did so before it was halted.
    #[serde(rename = "back")]
    pub is_rollback: bool,
    /// Number of the latest wave.
    pub wave: u32,
    /// Routers of the next wave of the same zone, at most.
    #[serde(rename = "size")]
    pub next_wave_size: u32,
    /// Zone of the latest wave.
    #[serde(rename = "zone")]
    pub wave_zone: Option<String>,
    /// Routers of the latest wave, until it has ended.
    #[serde(rename = "batch")]
    pub wave_routers: BTreeSet<String>,
    /// All routers.
    pub routers: BTreeMap<String, RouterState>,
    /// How often the release was restored, so that request numbers are never used twice.
    #[serde(rename = "life")]
    pub incarnation: u32,
}

impl ReleaseSnapshot {
    /// Where a router stands.
    pub(crate) fn step(&self, router: &str) -> RouterStep {
        self.routers[router].step
    }

    /// Routers at this step, by name.
    pub(crate) fn routers_at(&self, step: RouterStep) -> impl Iterator<Item = (&String, &RouterState)> {
        self.routers.iter().filter(move |(_, state)| state.step == step)
    }

    /// Number of lost routers.
    pub(crate) fn lost_count(&self) -> u32 {
        self.routers_at(RouterStep::Lost).count() as u32
    }

    /// The version that a router which is out of service comes back with.
    pub(crate) fn destination(&self, step: RouterStep) -> &Version {
        if step == RouterStep::RollingBack { &self.last_good } else { &self.target_version }
    }

    /// Lets the next wave be larger.
    pub(crate) fn grow_wave(&mut self) {
        let grown = self.next_wave_size.saturating_mul(self.settings.wave_growth);
        self.next_wave_size = grown.min(self.settings.max_wave_size);
    }
}
