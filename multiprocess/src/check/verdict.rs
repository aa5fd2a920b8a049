//! The results of the checker.
use super::violation::{QuotaWindow, Violation};
use crate::history::Micros;

/// A tenant's use of its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaUsage {
    /// Name of the tenant.
    pub tenant: String,
    /// Number of requests that ran.
    pub ran: usize,
    /// Number of requests that the rate admits from the start of the load to the end of the last request;
    /// `None` without a quota.
    pub allowed_by_rate: Option<f64>,
    /// The window with the largest excess of requests that were certainly admitted within it; `None` without
    /// a quota or if no request ran.
    pub certain: Option<QuotaWindow>,
    /// The window with the largest excess by arrival times at the servers; `None` without a quota or if no
    /// request ran.
    pub by_arrival: Option<QuotaWindow>,
}

/// How evenly reads were spread over a group's replicas, measured in the windows with at least five reads for
/// each replica on average.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReplicaSpread {
    /// Number of the group.
    pub group: u32,
    /// Number of replicas in the group.
    pub replicas: usize,
    /// Number of measured windows.
    pub windows: usize,
    /// Reads of the busiest replica divided by the mean of all replicas, averaged over the windows.
    pub max_by_mean: f64,
    /// Highest ratio of the busiest replica's reads to the mean of all replicas in any window.
    pub worst: f64,
    /// Number of replicas without a read, summed over the windows.
    pub idle: usize,
    /// Mean ratio of the busiest replica for the same number of reads spread at random.
    pub random_max_by_mean: f64,
    /// Expected number of idle replicas for the same number of reads spread at random.
    pub random_idle: f64,
}

/// The results of checking a history.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Violations of guarantees; empty if the run was correct.
    pub violations: Vec<Violation>,
    /// Quota usage of each tenant.
    pub quota_usage: Vec<QuotaUsage>,
    /// Spread of reads for each group.
    pub spread: Vec<ReplicaSpread>,
    /// Longest time between the sending of a request and its first execution.
    pub max_time_to_server: Micros,
}
