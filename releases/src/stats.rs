//! Request statistics of routers.
use serde::{Deserialize, Serialize};

/// What a router counted over some time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RequestStats {
    /// Requests that ended.
    pub requests: u64,
    /// Requests that failed.
    pub errors: u64,
    /// Sum of the requests' latencies in microseconds.
    #[serde(rename = "latency")]
    pub latency_sum: u64,
}

impl RequestStats {
    pub(crate) fn add(&mut self, more: RequestStats) {
        self.requests = self.requests.saturating_add(more.requests);
        self.errors = self.errors.saturating_add(more.errors.min(more.requests));
        self.latency_sum = self.latency_sum.saturating_add(more.latency_sum);
    }

    /// Halves the statistics until they count at most `max_requests`, so that older requests weigh less.
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
