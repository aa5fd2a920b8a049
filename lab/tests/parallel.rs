//! Tests running cases on several threads.
use damsonvale_lab::case::Case;
use damsonvale_lab::parallel::{cases_with_seeds, run_cases};
use simulator::Plan;

#[test]
fn cases_are_in_the_same_order_for_any_number_of_threads() {
    let plan = Plan { duration_s: 2.0, warmup_s: 0.5, request_rate: 200.0, ..Plan::default() };
    let planned = cases_with_seeds("x", &plan, 5);
    let (one, four) = (run_cases(&planned, 1), run_cases(&planned, 4));
    let same = |(a, b): (&Case, &Case)| a.name == b.name && a.results == b.results;
    assert!(one.len() == 5 && one.iter().zip(&four).all(same));
}
