//! The metric text of the operators' address: names and layout are read by the operators' own tools and must not move.
use routing::Figures;

/// Written by the program before its names were revised; lines in sorted order, as classes come in no fixed order.
const EXPECTED: &str = include_str!("fixtures/metrics.txt");

#[test]
fn metric_text_matches_the_recorded_bytes() {
    let figures = Figures::new(&["stock-read".into(), "order".into()]).unwrap();
    let mut value = 0;
    let mut next = || {
        value += 101;
        value
    };
    for class in &figures.classes {
        class.answered.inc_by(next());
        class.deferred.inc_by(next());
        class.errored.inc_by(next());
        class.sends.inc_by(next());
    }
    figures.current.set(14);
    figures.cluster_size.set(5);
    figures.cluster_unhealthy.set(-2);
    let text = figures.lines();
    assert!(text.ends_with('\n'));
    let mut lines: Vec<&str> = text.lines().collect();
    lines.sort_unstable();
    let sorted: String = lines.iter().map(|line| format!("{line}\n")).collect();
    assert_eq!(sorted, EXPECTED);
}

#[test]
fn metric_text_of_one_class_matches_the_recorded_bytes_in_order() {
    let figures = Figures::new(&["stock-read".into()]).unwrap();
    figures.classes[0].answered.inc_by(3);
    figures.current.set(1);
    assert_eq!(figures.lines(), include_str!("fixtures/metrics_one_class.txt"));
}
