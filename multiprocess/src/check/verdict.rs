//! What the checker found.
use super::violation::{QuotaWindow, Violation};
use crate::history::Micros;

/// How much of its quota a tenant used.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaUsage {
    /// The tenant's name.
    pub tenant: String,
    /// Requests that ran.
    pub ran: usize,
    /// Requests that the rate admitted from the load's begin to the last request's end; `None` without a quota.
    pub allowed_by_rate: Option<f64>,
    /// The worst window by what is certain; `None` without a quota or where nothing ran.
    pub certain: Option<QuotaWindow>,
    /// The worst window by arrival at servers; `None` as above.
    pub by_arrival: Option<QuotaWindow>,
}

/// How evenly a group's replicas were read, over the windows that had at least five reads for each replica.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReplicaSpread {
    /// The group.
    pub group: u32,
    /// How many replicas it has.
    pub replicas: usize,
    /// How many windows were measured.
    pub windows: usize,
    /// The busiest replica's reads divided by the mean replica's, as the mean over the windows.
    pub max_by_mean: f64,
    /// The same ratio in the worst window.
    pub worst: f64,
    /// Replicas without a read, summed over the windows.
    pub idle: usize,
    /// The mean ratio that the same number of reads spread at random would give.
    pub random_max_by_mean: f64,
    /// The idle replicas that the same number of reads spread at random would leave.
    pub random_idle: f64,
}

/// What the checker found in a history.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Broken guarantees; empty in a good run.
    pub violations: Vec<Violation>,
    /// Quota usage by tenant.
    pub quota_usage: Vec<QuotaUsage>,
    /// Spread of reads by group.
    pub spread: Vec<ReplicaSpread>,
    /// The longest time from a request's being sent to its first run.
    pub max_time_to_server: Micros,
}
