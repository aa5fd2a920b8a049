//! Results of a run: counts, latencies, violations, and how evenly the load was spread.
use crate::checker::Rule;
use crate::load_spread::LoadSpread;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Number of significant decimal digits of a recorded latency.
const LATENCY_SIGNIFICANT_DIGITS: u8 = 3;

/// Counts of requests and attempts, of one class or one second.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Number of requests that clients made.
    pub offered: u64,
    /// Number of requests served within their latency objective.
    pub in_time: u64,
    /// Number of requests served after their latency objective.
    pub late: u64,
    /// Number of requests that were rejected, and not retried or retried without success.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Number of requests that failed.
    pub failed: u64,
    /// Number of attempts sent.
    pub attempts: u64,
    /// Number of attempts sent to primaries.
    #[serde(rename = "at_primary")]
    pub primary_attempts: u64,
    /// Number of attempts sent to a node in another zone than the router's.
    #[serde(rename = "crossings")]
    pub cross_zone_attempts: u64,
    /// Number of connections established.
    pub handshakes: u64,
    /// Number of health checks sent.
    pub probes: u64,
    /// Number of retries by clients.
    pub retries: u64,
}

impl Counts {
    /// Share of the requests made that were served in time.
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
    /// Median latency of the class's requests.
    pub p50: u64,
    /// 90th percentile of the latency.
    pub p90: u64,
    /// 99th percentile of the latency.
    pub p99: u64,
    /// Longest latency of the class's requests.
    pub max: u64,
}

/// Results of a request class, serialized as the pair of its fields.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(Counts, Latency)", into = "(Counts, Latency)")]
pub struct ClassResults {
    /// Counts of the class's requests.
    pub counts: Counts,
    /// Latencies of the class's served requests.
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
    /// Seed of the run's random numbers.
    pub seed: u64,
    /// Number of simulated servers.
    pub nodes: usize,
    /// Number of simulated routers.
    pub routers: usize,
    /// Results of each class, by class name.
    pub classes: BTreeMap<String, ClassResults>,
    /// Counts of each second of the run; a request counts in the second in which its client made it.
    pub seconds: Vec<Counts>,
    /// Number of violations of each rule.
    #[serde(rename = "broken")]
    pub violations: BTreeMap<Rule, u64>,
    /// Descriptions of the first violations.
    #[serde(rename = "first_broken")]
    pub first_violations: Vec<String>,
    /// Number of simulation events processed.
    #[serde(rename = "events")]
    pub event_count: u64,
    /// Number of attempts that the checker checked.
    #[serde(rename = "checked")]
    pub checked_attempts: u64,
    /// How evenly the load was spread over the replicas.
    #[serde(default)]
    pub spread: LoadSpread,
}

impl Results {
    /// Sum of the counts of all classes.
    pub fn total(&self) -> Counts {
        let mut total = Counts::default();
        self.classes.values().for_each(|class| total.add(&class.counts));
        // Probes belong to no class, so they are counted by second only.
        total.probes = self.seconds.iter().map(|second| second.probes).sum();
        total
    }

    /// Lowest goodput of any second in which clients made requests.
    pub fn worst_second(&self) -> f64 {
        self.seconds.iter().filter(|second| second.offered > 0).map(Counts::goodput).fold(1.0, f64::min)
    }
}

/// Records the latencies of requests in a histogram.
pub struct LatencyRecorder(Histogram<u64>);

impl Default for LatencyRecorder {
    fn default() -> Self {
        LatencyRecorder::new()
    }
}

impl LatencyRecorder {
    /// Creates an empty recorder.
    ///
    /// # Panics
    /// Never: histograms support this number of significant digits.
    pub fn new() -> LatencyRecorder {
        LatencyRecorder(
            Histogram::new(LATENCY_SIGNIFICANT_DIGITS).expect("histograms support 3 significant digits"),
        )
    }

    /// Records one latency, in microseconds.
    pub fn record(&mut self, microseconds: i64) {
        // The histogram grows as needed, so that recording never fails.
        _ = self.0.record(microseconds.max(0) as u64);
    }

    /// Percentiles of the recorded latencies.
    pub fn latency(&self) -> Latency {
        let quantile = |quantile| self.0.value_at_quantile(quantile);
        Latency { p50: quantile(0.5), p90: quantile(0.9), p99: quantile(0.99), max: self.0.max() }
    }
}
