//! Counts of the outcomes of requests, and their latencies.
use crate::history::{Outcome, Request};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// Maximum recorded latency in microseconds; higher latencies are recorded as this value.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Significant decimal digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;
const MICROSECONDS_PER_MILLISECOND: f64 = 1000.0;

/// The outcomes of one tenant's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantOutcomes {
    /// Name of the tenant.
    pub tenant: String,
    /// Outcome counts and latencies of the tenant's requests.
    pub counts: OutcomeCounts,
}

/// Outcome counts and latencies of a set of requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OutcomeCounts {
    /// Total number of requests.
    pub requests: usize,
    /// Number of requests for each outcome; outcomes without requests are omitted.
    pub by_outcome: BTreeMap<Outcome, usize>,
    /// Median latency of served requests in milliseconds, measured from their scheduled times.
    pub p50_ms: f64,
    /// 99th-percentile latency of served requests in milliseconds, measured from their scheduled times.
    pub p99_ms: f64,
}

impl OutcomeCounts {
    /// Counts the outcomes of requests and computes the quantiles of their latencies.
    pub(super) fn of<'a>(requests: impl Iterator<Item = &'a Request>) -> OutcomeCounts {
        let mut counts = OutcomeCounts::default();
        // The bounds are constants and valid; if the histogram could not be created, the quantiles would be
        // 0.
        let mut latencies = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS).ok();
        for request in requests {
            counts.requests += 1;
            *counts.by_outcome.entry(request.outcome).or_default() += 1;
            if let (Outcome::Served, Some(latencies)) = (request.outcome, latencies.as_mut()) {
                latencies.saturating_record(request.ended.saturating_sub(request.due));
            }
        }
        let quantile_ms = |quantile| {
            latencies
                .as_ref()
                .map_or(0.0, |l| l.value_at_quantile(quantile) as f64 / MICROSECONDS_PER_MILLISECOND)
        };
        counts.p50_ms = quantile_ms(0.5);
        counts.p99_ms = quantile_ms(0.99);
        counts
    }

    /// Returns the number of requests with the given outcome.
    pub fn count(&self, outcome: Outcome) -> usize {
        self.by_outcome.get(&outcome).copied().unwrap_or(0)
    }
}
