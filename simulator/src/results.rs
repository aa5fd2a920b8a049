//! Results of a run: counts, latencies, violations and how evenly the load was spread.
use crate::checker::Rule;
use crate::load_spread::LoadSpread;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Significant digits of a recorded latency.
const LATENCY_DIGITS: u8 = 3;

/// Counts of requests and attempts, for a class or for a second.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that clients made.
    pub offered: u64,
    /// Requests served within their latency objective.
    pub in_time: u64,
    /// Requests served later.
    pub late: u64,
    /// Requests rejected, and not retried or retried in vain.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Attempts sent to primaries.
    #[serde(rename = "at_primary")]
    pub primary_attempts: u64,
    /// Attempts sent to another zone.
    #[serde(rename = "crossings")]
    pub cross_zone_attempts: u64,
    /// Connections established.
    pub handshakes: u64,
    /// Health checks sent.
    pub probes: u64,
    /// Retries by clients.
    pub retries: u64,
}

impl Counts {
    /// The share of offered requests that was served in time.
    pub fn goodput(&self) -> f64 {
        self.in_time as f64 / self.offered.max(1) as f64
    }

    fn add(&mut self, other: &Counts) {
        self.offered += other.offered;
        self.in_time += other.in_time;
        self.late += other.late;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.attempts += other.attempts;
        self.primary_attempts += other.primary_attempts;
        self.cross_zone_attempts += other.cross_zone_attempts;
        self.handshakes += other.handshakes;
        self.probes += other.probes;
        self.retries += other.retries;
    }
}

/// Latencies of the requests of a class, in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Latency {
    /// Median.
    pub p50: u64,
    /// 90th percentile.
    pub p90: u64,
    /// 99th percentile.
    pub p99: u64,
    /// Longest.
    pub max: u64,
}

/// Results of a class. Stored as the list of both.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(Counts, Latency)", into = "(Counts, Latency)")]
pub struct ClassResults {
    /// Counts of its requests.
    pub counts: Counts,
    /// Latencies of its served requests.
    pub latency: Latency,
}

impl From<(Counts, Latency)> for ClassResults {
    fn from((counts, latency): (Counts, Latency)) -> Self {
        ClassResults { counts, latency }
    }
}

impl From<ClassResults> for (Counts, Latency) {
    fn from(results: ClassResults) -> Self {
        (results.counts, results.latency)
    }
}

/// Results of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Results {
    /// Name of the plan.
    pub plan: String,
    /// Seed of the run.
    pub seed: u64,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of routers.
    pub routers: usize,
    /// Results of each class, by its name.
    pub classes: BTreeMap<String, ClassResults>,
    /// Counts of each second, by when the clients made their requests.
    pub seconds: Vec<Counts>,
    /// How often each rule was violated.
    #[serde(rename = "broken")]
    pub violations: BTreeMap<Rule, u64>,
    /// Descriptions of the first violations.
    #[serde(rename = "first_broken")]
    pub first_violations: Vec<String>,
    /// Events played.
    #[serde(rename = "events")]
    pub event_count: u64,
    /// Attempts that were checked.
    #[serde(rename = "checked")]
    pub checked_attempts: u64,
    /// How evenly the replicas were loaded.
    #[serde(default)]
    pub spread: LoadSpread,
}

impl Results {
    /// Counts of all classes together.
    pub fn total(&self) -> Counts {
        let mut total = Counts::default();
        self.classes.values().for_each(|class| total.add(&class.counts));
        // Probes belong to no class.
        total.probes = self.seconds.iter().map(|second| second.probes).sum();
        total
    }

    /// The lowest goodput of any second that had requests.
    pub fn worst_second(&self) -> f64 {
        self.seconds.iter().filter(|second| second.offered > 0).map(Counts::goodput).fold(1.0, f64::min)
    }
}

/// Records latencies of requests.
pub struct LatencyRecorder(Histogram<u64>);

impl Default for LatencyRecorder {
    fn default() -> Self {
        LatencyRecorder::new()
    }
}

impl LatencyRecorder {
    /// An empty recorder.
    ///
    /// # Panics
    /// Never: the number of digits is one that histograms allow.
    pub fn new() -> LatencyRecorder {
        LatencyRecorder(Histogram::new(LATENCY_DIGITS).expect("three digits are allowed"))
    }

    /// Records a latency in microseconds.
    pub fn record(&mut self, microseconds: i64) {
        // The histogram resizes itself, so that no latency of a run is out of its range.
        _ = self.0.record(microseconds.max(0) as u64);
    }

    /// Percentiles of what was recorded.
    pub fn latency(&self) -> Latency {
        let quantile = |quantile| self.0.value_at_quantile(quantile);
        Latency { p50: quantile(0.5), p90: quantile(0.9), p99: quantile(0.99), max: self.0.max() }
    }
}
