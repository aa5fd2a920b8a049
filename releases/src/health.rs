//! Compares the request statistics of routers.
use crate::RequestStats;
use decision::Micros;
use serde::{Deserialize, Serialize};

/// An error rate must exceed the reference by this many standard errors to count as worse.
const STANDARD_ERRORS: f64 = 4.0;

/// The thresholds for worse statistics, and how long a wave is observed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct HealthSettings {
    /// The number of requests from which statistics are significant.
    #[serde(rename = "enough")]
    pub min_requests: u64,
    /// An error rate is worse if it exceeds the reference by more than this and by more than four standard
    /// errors.
    #[serde(rename = "errors")]
    pub max_error_rate_increase: f64,
    /// A mean latency is worse if it is above this multiple of the reference.
    #[serde(rename = "latency")]
    pub max_latency_factor: f64,
    /// How long a wave is observed after its last router was updated, in microseconds.
    #[serde(rename = "watch")]
    pub observation_time: Micros,
    /// The release halts if a wave is not found healthy within this time, in microseconds.
    #[serde(rename = "patience")]
    pub health_timeout: Micros,
}

impl HealthSettings {
    /// Whether the statistics count enough requests to be compared.
    pub(crate) fn is_significant(&self, stats: &RequestStats) -> bool {
        stats.requests >= self.min_requests
    }

    /// Whether `stats` is worse than `reference`; false if either is not significant.
    pub(crate) fn is_worse(&self, stats: &RequestStats, reference: &RequestStats) -> bool {
        if !self.is_significant(stats) || !self.is_significant(reference) {
            return false;
        }
        let noise = STANDARD_ERRORS * standard_error(stats, reference);
        stats.error_rate() > reference.error_rate() + self.max_error_rate_increase + noise
            || stats.mean_latency() > reference.mean_latency() * self.max_latency_factor
    }
}

/// The standard error of the difference of two error rates, computed with their pooled rate.
fn standard_error(one: &RequestStats, other: &RequestStats) -> f64 {
    let pooled_rate = (one.errors + other.errors) as f64 / (one.requests + other.requests) as f64;
    let weight = 1.0 / one.requests as f64 + 1.0 / other.requests as f64;
    (pooled_rate * (1.0 - pooled_rate) * weight).sqrt()
}
