//! Estimates, by sampling, the imbalance that random assignment of requests to replicas alone produces: the
//! baseline of [`crate::load_spread::Imbalance`].
use fastrand::Rng;
use std::collections::HashMap;

/// Number of samples taken for each window shape.
const SAMPLES: usize = 64;
/// Mean number of requests per replica above which their numbers are drawn from a normal distribution.
const NORMAL_APPROXIMATION_MIN_MEAN: f64 = 200.0;
/// Number of uniform random numbers that are summed to approximate a normal distribution, whose standard
/// deviation is 1 and whose mean is half this number.
const UNIFORM_DRAWS: usize = 12;

/// Properties of a time window that determine its imbalance under random assignment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WindowShape {
    /// Number of requests started in the window; above 0.
    pub starts: u64,
    /// Number of replicas that were in service during the whole window.
    pub replicas: usize,
}

impl WindowShape {
    /// Rounds the number of requests to two significant digits, so that few distinct shapes are sampled.
    fn rounded(self) -> WindowShape {
        let scale = 10_u64.pow(self.starts.ilog10().saturating_sub(1));
        WindowShape { starts: (self.starts + scale / 2) / scale * scale, ..self }
    }
}

/// Expected imbalance of a set of windows under random assignment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RandomImbalance {
    /// Expected mean imbalance over the windows.
    pub mean: f64,
    /// Expected imbalance of the worst window.
    pub worst: f64,
}

/// Cache of samples by window shape; each shape is sampled only once.
#[derive(Default)]
pub struct RandomBaseline(HashMap<WindowShape, Vec<f64>>);

impl RandomBaseline {
    /// Returns the imbalance expected over windows of these shapes. The order of the shapes affects the
    /// random draws.
    pub fn expected(&mut self, shapes: &[WindowShape]) -> RandomImbalance {
        let (mut mean, mut worst) = (0.0, [0.0_f64; SAMPLES]);
        for shape in shapes {
            let shape = shape.rounded();
            let samples = self.0.entry(shape).or_insert_with(|| sample_imbalance(shape));
            mean += samples.iter().sum::<f64>() / SAMPLES as f64;
            // The samples of windows of one shape are drawn independently of each other.
            let mut rng = Rng::with_seed(shapes.len() as u64 ^ mean.to_bits());
            worst.iter_mut().for_each(|worst| *worst = worst.max(samples[rng.usize(0..SAMPLES)]));
        }
        RandomImbalance {
            mean: mean / shapes.len().max(1) as f64,
            worst: worst.iter().sum::<f64>() / SAMPLES as f64,
        }
    }
}

/// Samples the imbalance of a window in which each request goes to a random replica. The generator is seeded
/// from the shape.
pub fn sample_imbalance(shape: WindowShape) -> Vec<f64> {
    let mut rng = Rng::with_seed(shape.starts ^ (shape.replicas as u64) << 40);
    let mean = shape.starts as f64 / shape.replicas as f64;
    let mut sample = || {
        let starts = if mean > NORMAL_APPROXIMATION_MIN_MEAN {
            draw_normal_starts(&mut rng, shape.replicas, mean)
        } else {
            draw_starts(&mut rng, shape)
        };
        starts.into_iter().fold(0.0, f64::max) / mean
    };
    (0..SAMPLES).map(|_| sample()).collect()
}

fn draw_starts(rng: &mut Rng, shape: WindowShape) -> Vec<f64> {
    let mut starts = vec![0.0_f64; shape.replicas];
    (0..shape.starts).for_each(|_| starts[rng.usize(0..shape.replicas)] += 1.0);
    starts
}

fn draw_normal_starts(rng: &mut Rng, replicas: usize, mean: f64) -> Vec<f64> {
    let mut draw = || (0..UNIFORM_DRAWS).map(|_| rng.f64()).sum::<f64>() - UNIFORM_DRAWS as f64 / 2.0;
    let deviations: Vec<f64> = (0..replicas).map(|_| draw()).collect();
    // The total number of requests is fixed, so each deviation is taken relative to the mean deviation.
    let mean_deviation = deviations.iter().sum::<f64>() / replicas as f64;
    deviations.iter().map(|deviation| mean + mean.sqrt() * (deviation - mean_deviation)).collect()
}
