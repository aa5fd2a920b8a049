//! What comes out of a run.
use crate::check::Rule;
use crate::spread::Spread;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Counts over a stretch of time, or of a class.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that clients came with.
    pub offered: u64,
    /// Served within their aim.
    pub in_time: u64,
    /// Served later.
    pub late: u64,
    /// Refused, and not asked again or in vain.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Of them, to primaries.
    pub at_primary: u64,
    /// Of them, to another hall.
    pub crossings: u64,
    /// Connections made.
    pub handshakes: u64,
    /// Probes.
    pub probes: u64,
    /// Times that clients asked again.
    pub retries: u64,
}

impl Counts {
    /// The share of what was offered that was served in time.
    pub fn goodput(&self) -> f64 {
        self.in_time as f64 / self.offered.max(1) as f64
    }

    fn add(&mut self, other: &Counts) {
        self.offered += other.offered;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.failed += other.failed;
        self.attempts += other.attempts;
        self.at_primary += other.at_primary;
        self.crossings += other.crossings;
        self.handshakes += other.handshakes;
        self.probes += other.probes;
        self.retries += other.retries;
    }
}

/// How long requests of a class took, in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Latency {
    /// Median.
    pub p50: u64,
    /// 90th percentile.
    pub p90: u64,
    /// 99th percentile.
    pub p99: u64,
    /// The longest.
    pub max: u64,
}

/// A run's results.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Results {
    /// The plan's name.
    pub plan: String,
    /// The seed.
    pub seed: u64,
    /// Nodes, routers.
    pub nodes: usize,
    /// Routers.
    pub routers: usize,
    /// For each class, by name.
    pub classes: BTreeMap<String, (Counts, Latency)>,
    /// For each second, by when the clients first asked.
    pub seconds: Vec<Counts>,
    /// How often each rule was broken.
    pub broken: BTreeMap<Rule, u64>,
    /// The first of them, in words.
    pub first_broken: Vec<String>,
    /// Events played.
    pub events: u64,
    /// Attempts that were held to the rules.
    pub checked: u64,
    /// How evenly the replicas were given work.
    #[serde(default)]
    pub spread: Spread,
}

impl Results {
    /// Everything together.
    pub fn total(&self) -> Counts {
        let mut sum = Counts::default();
        self.classes.values().for_each(|(c, _)| sum.add(c));
        // Probes are of no class.
        sum.probes = self.seconds.iter().map(|s| s.probes).sum();
        sum
    }

    /// The lowest share served in time in any one second that had requests.
    pub fn worst_second(&self) -> f64 {
        self.seconds.iter().filter(|c| c.offered > 0).map(Counts::goodput).fold(1.0, f64::min)
    }
}

/// Collects a class's times.
pub struct Times(Histogram<u64>);

impl Default for Times {
    fn default() -> Self {
        Times::new()
    }
}

impl Times {
    /// None yet.
    pub fn new() -> Times {
        Times(Histogram::new(3).expect("three digits are allowed"))
    }

    /// One more, in microseconds.
    pub fn record(&mut self, us: i64) {
        // It grows as it has to; nothing played lasts beyond what it can hold.
        _ = self.0.record(us.max(0) as u64);
    }

    /// What they amount to.
    pub fn latency(&self) -> Latency {
        let at = |q| self.0.value_at_quantile(q);
        Latency { p50: at(0.5), p90: at(0.9), p99: at(0.99), max: self.0.max() }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn long_times_are_kept_as_they_are() {
        let mut t = Times::new();
        (1..=1000).for_each(|n| t.record(n * 1000));
        let l = t.latency();
        let near = |a: u64, b: u64| a.abs_diff(b) <= b / 500;
        assert!(near(l.p50, 500_000) && near(l.p99, 990_000) && near(l.max, 1_000_000), "{l:?}");
    }
}
