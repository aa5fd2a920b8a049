//! How evenly replicas were given work, over the seeds of a case, with bootstrap intervals.
use crate::run::Case;
use fastrand::Rng;
use simulator::load_spread::{Imbalance, LoadSpread};
use std::fmt::Write;

/// Draws of a bootstrap.
const DRAWS: usize = 2000;

/// The mean of samples, and between what the means of 95 % of resamples lie. The draws are seeded: the same samples
/// give the same interval.
pub fn interval(samples: &[f64]) -> (f64, f64, f64) {
    let (n, mut rng) = (samples.len().max(1), Rng::with_seed(1));
    let mean = samples.iter().sum::<f64>() / n as f64;
    let mut means: Vec<f64> = (0..DRAWS)
        .map(|_| (0..samples.len()).map(|_| samples[rng.usize(0..samples.len())]).sum::<f64>() / n as f64)
        .collect();
    means.sort_by(f64::total_cmp);
    (mean, means[DRAWS / 40], means[DRAWS - 1 - DRAWS / 40])
}

type Figure = (&'static str, fn(&LoadSpread) -> f64);

fn over(r: &Imbalance) -> f64 {
    r.mean - r.random_mean
}

/// What is told of each case; `over` is most against mean beyond what chance alone gives.
const FIGURES: [Figure; 12] = [
    ("group 10 s, most/mean", |s| s.group_10s.mean),
    ("over", |s| over(&s.group_10s)),
    ("worst", |s| s.group_10s.worst),
    ("of chance", |s| s.group_10s.random_worst),
    ("fleet 10 s", |s| s.fleet_10s.mean),
    ("over", |s| over(&s.fleet_10s)),
    ("group 1 s", |s| s.group_1s.mean),
    ("over", |s| over(&s.group_1s)),
    ("after, worst 10 s", |s| s.after_fault_10s.worst),
    ("after, worst 1 s", |s| s.after_fault_1s.worst),
    ("of chance", |s| s.after_fault_1s.random_worst),
    ("idle %", |s| 100.0 * s.idle_share),
];

/// Cases without their seeds, each with the results of all of its seeds, in order.
pub fn by_case(cases: &[Case]) -> Vec<(&str, Vec<&Case>)> {
    let mut of: Vec<(&str, Vec<&Case>)> = Vec::new();
    for c in cases {
        let name = c.name.rsplit_once(", seed ").map_or(c.name.as_str(), |(name, _)| name);
        match of.iter_mut().find(|(n, _)| *n == name) {
            Some((_, all)) => all.push(c),
            None => of.push((name, vec![c])),
        }
    }
    of
}

/// A line for each figure of each case: the mean over seeds, its interval, and the highest of any seed.
pub fn summary(cases: &[Case]) -> String {
    let mut text =
        format!("{:<26}{:<24}{:>9}{:>22}{:>9}\n", "spread", "", "mean", "95 % of means", "highest");
    for (name, all) in by_case(cases) {
        let mut told = |what: &str, samples: Vec<f64>| {
            let (mean, low, high) = interval(&samples);
            let most = samples.into_iter().fold(f64::MIN, f64::max);
            let range = format!("{low:.3} to {high:.3}");
            _ = writeln!(text, "{name:<26}{what:<24}{mean:>9.3}{range:>22}{most:>9.3}");
        };
        for (what, of) in FIGURES {
            told(what, all.iter().map(|c| of(&c.results.spread)).collect());
        }
        let p99 = |c: &&Case| {
            c.results.classes.values().map(|class| class.latency.p99).max().unwrap_or(0) as f64 / 1000.0
        };
        told("slowest class, p99 ms", all.iter().map(p99).collect());
        told("in time %", all.iter().map(|c| 100.0 * c.results.total().goodput()).collect());
    }
    text
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_interval_holds_the_mean_and_narrows_with_samples() {
        let wide = interval(&[1.0, 2.0, 3.0]);
        assert!(wide.0 == 2.0 && wide.1 < 1.5 && wide.2 > 2.5, "{wide:?}");
        let many: Vec<f64> = (0..300).map(|n| f64::from(n % 3) + 1.0).collect();
        let narrow = interval(&many);
        assert!((narrow.0 - 2.0).abs() < 1e-9 && narrow.2 - narrow.1 < 0.25, "{narrow:?}");
        assert_eq!(interval(&[4.0]), (4.0, 4.0, 4.0));
        assert_eq!(interval(&many), narrow);
    }
}
