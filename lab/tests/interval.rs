//! Tests bootstrap confidence intervals.
use damsonvale_lab::interval::ConfidenceInterval;

#[test]
fn interval_contains_mean_and_narrows_with_samples() {
    let wide = ConfidenceInterval::of(&[1.0, 2.0, 3.0]);
    assert!(wide.mean == 2.0 && wide.low < 1.5 && wide.high > 2.5, "{wide:?}");
    let many: Vec<f64> = (0..300).map(|n| f64::from(n % 3) + 1.0).collect();
    let narrow = ConfidenceInterval::of(&many);
    assert!((narrow.mean - 2.0).abs() < 1e-9 && narrow.high - narrow.low < 0.25, "{narrow:?}");
    assert_eq!(ConfidenceInterval::of(&[4.0]), ConfidenceInterval { mean: 4.0, low: 4.0, high: 4.0 });
    assert_eq!(ConfidenceInterval::of(&many), narrow);
}
