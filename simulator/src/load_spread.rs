//! Measurements of how evenly requests were spread over the replicas in service.
use serde::{Deserialize, Serialize};

/// Imbalance over time windows of one length: requests started at the busiest replica of a window, divided by
/// the mean over its replicas.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Imbalance {
    /// Number of windows measured: one per time span for each group, or one per time span for the whole
    /// fleet.
    pub windows: u64,
    /// Mean imbalance over all windows.
    pub mean: f64,
    /// Highest imbalance of any window.
    pub worst: f64,
    /// Expected mean imbalance over the same windows if each request went to a replica at random.
    #[serde(rename = "chance")]
    pub random_mean: f64,
    /// Expected highest imbalance of as many windows if each request went to a replica at random.
    #[serde(rename = "chance_worst")]
    pub random_worst: f64,
}

/// How evenly the requests of a run were spread over the replicas in service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadSpread {
    /// Imbalance within each group, over windows of ten seconds.
    pub group_10s: Imbalance,
    /// Imbalance within each group, over windows of one second.
    pub group_1s: Imbalance,
    /// Imbalance over all replicas in service, over windows of ten seconds.
    pub fleet_10s: Imbalance,
    /// Imbalance over all replicas in service, over windows of one second.
    pub fleet_1s: Imbalance,
    /// Imbalance within each group, over windows of one second in the ten seconds after the end of a fault.
    #[serde(rename = "after_1s")]
    pub after_fault_1s: Imbalance,
    /// Imbalance within each group, over the ten seconds after the end of a fault.
    #[serde(rename = "after_10s")]
    pub after_fault_10s: Imbalance,
    /// Share of the replicas' time in service in which they were idle while their group had work.
    #[serde(rename = "idle")]
    pub idle_share: f64,
    /// Number of periods in which a replica was idle while its group had work.
    #[serde(rename = "idle_spells")]
    pub idle_periods: u64,
    /// Length of the longest period in which a replica was idle while its group had work, in seconds.
    #[serde(rename = "idle_longest")]
    pub longest_idle_s: f64,
}
