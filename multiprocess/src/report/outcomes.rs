//! How requests ended.
use crate::history::{Outcome, Request};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// The longest latency that is recorded, in microseconds; longer ones count as this.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Significant digits of latencies.
const LATENCY_DIGITS: u8 = 3;
const MICROSECONDS_PER_MILLISECOND: f64 = 1000.0;

/// How the requests of one tenant ended.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantOutcomes {
    /// The tenant's name.
    pub tenant: String,
    /// How its requests ended.
    pub counts: OutcomeCounts,
}

/// How requests ended.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OutcomeCounts {
    /// Requests.
    pub requests: usize,
    /// Requests by outcome; outcomes that no request had are missing.
    pub by_outcome: BTreeMap<Outcome, usize>,
    /// Median latency of served requests, from when they were due, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the same.
    pub p99_ms: f64,
}

impl OutcomeCounts {
    /// Counts the outcomes of requests.
    pub(super) fn of<'a>(requests: impl Iterator<Item = &'a Request>) -> OutcomeCounts {
        let mut counts = OutcomeCounts::default();
        // These bounds are known to be valid; without a histogram there are no quantiles.
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

    /// The number of requests with this outcome.
    pub fn count(&self, outcome: Outcome) -> usize {
        self.by_outcome.get(&outcome).copied().unwrap_or(0)
    }
}
