//! Table of the load distribution over replicas, for all seeds of an experiment, with bootstrap confidence
//! intervals.
use crate::case::{Case, CaseGroup, group_by_seed};
use crate::interval::ConfidenceInterval;
use simulator::load_spread::{Imbalance, LoadSpread};
use std::fmt::Write;

/// A metric that the table lists for each experiment.
struct Metric {
    /// Label of the metric; a metric that refines the metric above has only the difference as its label.
    name: &'static str,
    value: fn(&LoadSpread) -> f64,
}

/// The metrics in table order. `over` is the imbalance in excess of random assignment, and `of chance` is the
/// worst imbalance of random assignment.
const METRICS: [Metric; 12] = [
    Metric { name: "group 10 s, most/mean", value: |spread| spread.group_10s.mean },
    Metric { name: "over", value: |spread| excess(&spread.group_10s) },
    Metric { name: "worst", value: |spread| spread.group_10s.worst },
    Metric { name: "of chance", value: |spread| spread.group_10s.random_worst },
    Metric { name: "fleet 10 s", value: |spread| spread.fleet_10s.mean },
    Metric { name: "over", value: |spread| excess(&spread.fleet_10s) },
    Metric { name: "group 1 s", value: |spread| spread.group_1s.mean },
    Metric { name: "over", value: |spread| excess(&spread.group_1s) },
    Metric { name: "after, worst 10 s", value: |spread| spread.after_fault_10s.worst },
    Metric { name: "after, worst 1 s", value: |spread| spread.after_fault_1s.worst },
    Metric { name: "of chance", value: |spread| spread.after_fault_1s.random_worst },
    Metric { name: "idle %", value: |spread| 100.0 * spread.idle_share },
];

/// Returns the imbalance in excess of random assignment.
pub(crate) fn excess(imbalance: &Imbalance) -> f64 {
    imbalance.mean - imbalance.random_mean
}

/// Formats a table with a line for each metric of each experiment: the mean over its seeds, the confidence
/// interval of the mean, and the maximum over the seeds.
pub fn summary(cases: &[Case]) -> String {
    let mut text =
        format!("{:<26}{:<24}{:>9}{:>22}{:>9}\n", "spread", "", "mean", "95 % of means", "highest");
    for group in group_by_seed(cases) {
        for metric in &METRICS {
            write_metric(&mut text, &group, metric.name, |case| (metric.value)(&case.results.spread));
        }
        write_metric(&mut text, &group, "slowest class, p99 ms", slowest_class_p99_ms);
        write_metric(&mut text, &group, "in time %", |case| 100.0 * case.results.total().goodput());
    }
    text
}

fn slowest_class_p99_ms(case: &Case) -> f64 {
    let slowest = case.results.classes.values().map(|class| class.latency.p99).max().unwrap_or(0);
    slowest as f64 / 1000.0
}

fn write_metric(text: &mut String, group: &CaseGroup<'_>, name: &str, value: impl Fn(&Case) -> f64) {
    let samples: Vec<f64> = group.cases.iter().map(|case| value(case)).collect();
    let ConfidenceInterval { mean, low, high } = ConfidenceInterval::of(&samples);
    let highest = samples.into_iter().fold(f64::MIN, f64::max);
    let range = format!("{low:.3} to {high:.3}");
    _ = writeln!(text, "{:<26}{name:<24}{mean:>9.3}{range:>22}{highest:>9.3}", group.name);
}
