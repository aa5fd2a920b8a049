//! Bootstrap intervals of means.
use fastrand::Rng;

/// Resamples of a bootstrap.
const RESAMPLES: usize = 2000;
/// The share of resampled means on each side outside of the interval is one in this many.
const TAIL_DIVISOR: usize = 40;
/// Seed of the draws.
const SEED: u64 = 1;

/// A mean, and the interval that 95 % of resampled means are in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Interval {
    /// Mean of the samples.
    pub mean: f64,
    /// Lower end.
    pub low: f64,
    /// Upper end.
    pub high: f64,
}

impl Interval {
    /// The interval of samples. The draws are seeded: the same samples give the same interval.
    pub fn of(samples: &[f64]) -> Interval {
        let count = samples.len();
        let mean_of = |sum: f64| sum / count.max(1) as f64;
        let mut rng = Rng::with_seed(SEED);
        let mut resampled_mean = || mean_of((0..count).map(|_| samples[rng.usize(0..count)]).sum());
        let mut means: Vec<f64> = (0..RESAMPLES).map(|_| resampled_mean()).collect();
        means.sort_by(f64::total_cmp);
        let tail = RESAMPLES / TAIL_DIVISOR;
        Interval { mean: mean_of(samples.iter().sum()), low: means[tail], high: means[RESAMPLES - 1 - tail] }
    }
}
