//! Figures of how evenly the replicas in service were loaded.
use serde::{Deserialize, Serialize};

/// Imbalance over windows of one length: starts at the busiest replica divided by the mean over replicas.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Imbalance {
    /// Windows counted: one for each group, or one for the fleet.
    pub windows: u64,
    /// Mean of the ratio over the windows.
    pub mean: f64,
    /// Ratio of the worst window.
    pub worst: f64,
    /// Expected mean over the same windows if each start went to a replica at random.
    #[serde(rename = "chance")]
    pub random_mean: f64,
    /// Expected worst of as many windows if each start went to a replica at random.
    #[serde(rename = "chance_worst")]
    pub random_worst: f64,
}

/// How evenly a run was spread over the replicas in service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadSpread {
    /// Within each group, by windows of ten seconds.
    pub group_10s: Imbalance,
    /// Within each group, by seconds.
    pub group_1s: Imbalance,
    /// Over all replicas in service, by windows of ten seconds.
    pub fleet_10s: Imbalance,
    /// Over all replicas in service, by seconds.
    pub fleet_1s: Imbalance,
    /// Within each group, by seconds, in the ten seconds after the end of a fault.
    #[serde(rename = "after_1s")]
    pub after_fault_1s: Imbalance,
    /// Within each group, the ten seconds after the end of a fault.
    #[serde(rename = "after_10s")]
    pub after_fault_10s: Imbalance,
    /// Share of the replicas' time in service in which they were idle while their group had work.
    #[serde(rename = "idle")]
    pub idle_share: f64,
    /// Number of such idle periods.
    #[serde(rename = "idle_spells")]
    pub idle_periods: u64,
    /// The longest of them, in seconds.
    #[serde(rename = "idle_longest")]
    pub longest_idle_s: f64,
}
