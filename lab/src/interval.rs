//! Bootstrap confidence intervals of means.
use fastrand::Rng;

/// Number of bootstrap resamples.
const RESAMPLES: usize = 2000;
/// Reciprocal of the share of resampled means below the interval; the same share lies above it.
const TAIL_DIVISOR: usize = 40;
/// Random seed of the resampling.
const SEED: u64 = 1;

/// A mean and its 95 % bootstrap confidence interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConfidenceInterval {
    /// Mean of the samples.
    pub mean: f64,
    /// Lower bound of the interval.
    pub low: f64,
    /// Upper bound of the interval.
    pub high: f64,
}

impl ConfidenceInterval {
    /// Computes the interval of samples. The random seed is constant, so the same samples give the same
    /// interval.
    pub fn of(samples: &[f64]) -> ConfidenceInterval {
        let count = samples.len();
        let mean_of = |sum: f64| sum / count.max(1) as f64;
        let mut rng = Rng::with_seed(SEED);
        let mut resampled_mean = || mean_of((0..count).map(|_| samples[rng.usize(0..count)]).sum());
        let mut means: Vec<f64> = (0..RESAMPLES).map(|_| resampled_mean()).collect();
        means.sort_by(f64::total_cmp);
        let tail = RESAMPLES / TAIL_DIVISOR;
        ConfidenceInterval {
            mean: mean_of(samples.iter().sum()),
            low: means[tail],
            high: means[RESAMPLES - 1 - tail],
        }
    }
}
