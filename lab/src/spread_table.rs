//! Table of how evenly replicas were loaded, over the seeds of an experiment, with bootstrap intervals.
use crate::case::{Case, CaseGroup, group_by_seed};
use crate::interval::Interval;
use simulator::load_spread::{Imbalance, LoadSpread};
use std::fmt::Write;

/// A figure that the table has for each experiment.
struct Figure {
    /// Its label; a figure that refines the one above it is labelled by the difference alone.
    name: &'static str,
    value: fn(&LoadSpread) -> f64,
}

/// The figures, in the order of the table: `over` is the imbalance beyond what random assignment gives, and `of chance` is
/// the worst imbalance of random assignment.
const FIGURES: [Figure; 12] = [
    Figure { name: "group 10 s, most/mean", value: |spread| spread.group_10s.mean },
    Figure { name: "over", value: |spread| excess(&spread.group_10s) },
    Figure { name: "worst", value: |spread| spread.group_10s.worst },
    Figure { name: "of chance", value: |spread| spread.group_10s.random_worst },
    Figure { name: "fleet 10 s", value: |spread| spread.fleet_10s.mean },
    Figure { name: "over", value: |spread| excess(&spread.fleet_10s) },
    Figure { name: "group 1 s", value: |spread| spread.group_1s.mean },
    Figure { name: "over", value: |spread| excess(&spread.group_1s) },
    Figure { name: "after, worst 10 s", value: |spread| spread.after_fault_10s.worst },
    Figure { name: "after, worst 1 s", value: |spread| spread.after_fault_1s.worst },
    Figure { name: "of chance", value: |spread| spread.after_fault_1s.random_worst },
    Figure { name: "idle %", value: |spread| 100.0 * spread.idle_share },
];

/// The imbalance beyond what random assignment gives.
pub(crate) fn excess(imbalance: &Imbalance) -> f64 {
    imbalance.mean - imbalance.random_mean
}

/// A line for each figure of each experiment: the mean over its seeds, the interval of that, and the highest of any
/// seed.
pub fn summary(cases: &[Case]) -> String {
    let mut text =
        format!("{:<26}{:<24}{:>9}{:>22}{:>9}\n", "spread", "", "mean", "95 % of means", "highest");
    for group in group_by_seed(cases) {
        for figure in &FIGURES {
            write_figure(&mut text, &group, figure.name, |case| (figure.value)(&case.results.spread));
        }
        write_figure(&mut text, &group, "slowest class, p99 ms", slowest_class_p99_ms);
        write_figure(&mut text, &group, "in time %", |case| 100.0 * case.results.total().goodput());
    }
    text
}

fn slowest_class_p99_ms(case: &Case) -> f64 {
    let slowest = case.results.classes.values().map(|class| class.latency.p99).max().unwrap_or(0);
    slowest as f64 / 1000.0
}

fn write_figure(text: &mut String, group: &CaseGroup<'_>, name: &str, value: impl Fn(&Case) -> f64) {
    let samples: Vec<f64> = group.cases.iter().map(|case| value(case)).collect();
    let Interval { mean, low, high } = Interval::of(&samples);
    let highest = samples.into_iter().fold(f64::MIN, f64::max);
    let range = format!("{low:.3} to {high:.3}");
    _ = writeln!(text, "{:<26}{name:<24}{mean:>9.3}{range:>22}{highest:>9.3}", group.name);
}
