//! Counters of the requests that routers served.
use serde::{Deserialize, Serialize};

/// The requests that a router counted over a period.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RequestStats {
    /// The number of completed requests, including failed ones.
    pub requests: u64,
    /// The number of failed requests.
    pub errors: u64,
    /// The sum of the requests' latencies in microseconds.
    #[serde(rename = "latency")]
    pub latency_sum: u64,
}

impl RequestStats {
    pub(crate) fn add(&mut self, other: RequestStats) {
        self.requests = self.requests.saturating_add(other.requests);
        self.errors = self.errors.saturating_add(other.errors.min(other.requests));
        self.latency_sum = self.latency_sum.saturating_add(other.latency_sum);
    }

    /// Halves the statistics until they count at most `max_requests`, so that older requests have less
    /// weight.
    pub(crate) fn decay(&mut self, max_requests: u64) {
        while self.requests > max_requests.max(1) {
            self.requests /= 2;
            self.errors /= 2;
            self.latency_sum /= 2;
        }
    }

    pub(crate) fn error_rate(&self) -> f64 {
        self.errors as f64 / self.requests.max(1) as f64
    }

    pub(crate) fn mean_latency(&self) -> f64 {
        self.latency_sum as f64 / self.requests.max(1) as f64
    }
}
