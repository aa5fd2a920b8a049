//! Simulates 30 and 300 independent routers in front of one group with a member that is warming up. The
//! requests that the member gets from all routers together are summed over each window of the overload
//! duration.
#[path = "../common/mod.rs"]
mod common;
mod scene;
mod world;

use scene::{Plan, SCENARIOS, Scenario};
use world::{Results, World};

/// Offered load: 0.6 of the group's capacity, plus a burst of half as much again.
const BURST: f64 = 0.9;
const SEEDS: u64 = 10;

/// Results over all seeds of one plan.
struct Summary {
    seeds: u64,
    /// Runs in which the cold member was overloaded.
    overloads: usize,
    /// The largest ratio of offered work to the overload limit in any window of any run.
    worst_ratio: f64,
    /// The mean over the runs of their largest ratios.
    mean_worst_ratio: f64,
    /// The share of the requests that was served.
    served: f64,
    /// The share of the requests that the cold member served.
    served_by_cold_member: f64,
}

impl Summary {
    fn of(plan: Plan, seeds: u64) -> Summary {
        let runs: Vec<Results> = (0..seeds).map(|seed| World::new(Plan { seed, ..plan }).run()).collect();
        let sum = |of: fn(&Results) -> f64| runs.iter().map(of).sum::<f64>();
        let requests = sum(|run| run.requests as f64);
        Summary {
            seeds,
            overloads: runs.iter().filter(|run| run.worst_window_ratio > 1.0).count(),
            worst_ratio: runs.iter().map(|run| run.worst_window_ratio).fold(0.0, f64::max),
            mean_worst_ratio: sum(|run| run.worst_window_ratio) / seeds as f64,
            served: sum(|run| run.served as f64) / requests,
            served_by_cold_member: sum(|run| run.served_by_cold_member as f64) / requests,
        }
    }
}

impl std::fmt::Display for Summary {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let Summary { seeds, overloads, worst_ratio, mean_worst_ratio, .. } = self;
        write!(
            f,
            "{overloads} overloads of {seeds}, worst ratio {worst_ratio:.2}, mean {mean_worst_ratio:.2}"
        )
    }
}

/// Checks that the cold member is overloaded on no seed, with warm capacities of 13.4 and 26.7 requests per
/// second. Right after its start these permit 5 and 10 requests per window, or 11.5 and 18.3 including the
/// allowance for random variation.
fn assert_never_overloaded(scenario: Scenario) {
    for routers in [30, 300] {
        for capacity in [13.4, 26.7] {
            let plan = Plan { scenario, routers, capacity, load: BURST, deadline_ms: 2000, seed: 0 };
            let summary = Summary::of(plan, SEEDS);
            assert!(summary.overloads == 0, "{plan:?}: {summary}");
            assert!(summary.mean_worst_ratio > 0.2, "{plan:?}: the member got almost no requests");
        }
    }
}

#[test]
fn new_replica_beside_warm_members_is_not_overloaded() {
    assert_never_overloaded(Scenario::Joins);
}

#[test]
fn new_replica_beside_hanging_replicas_is_not_overloaded() {
    assert_never_overloaded(Scenario::ReplicasHang);
}

#[test]
fn returning_primary_with_queued_writes_is_not_overloaded() {
    assert_never_overloaded(Scenario::PrimaryReturns);
}

#[test]
fn returning_primary_with_restarting_routers_is_not_overloaded() {
    assert_never_overloaded(Scenario::RoutersRestart);
}

/// If the list names no other members, routers cannot tell which share of the load belongs to this one. There
/// is no hard limit then, only a mean: in the worst window of a run, the member gets about what it can
/// handle.
#[test]
fn only_listed_member_gets_its_capacity_on_average() {
    for scenario in [Scenario::ReplicasRemoved, Scenario::ListedAlone, Scenario::PrimaryListedAlone] {
        for routers in [30, 300] {
            let plan = Plan { scenario, routers, capacity: 26.7, load: 0.6, deadline_ms: 2000, seed: 0 };
            let summary = Summary::of(plan, SEEDS);
            assert!(summary.mean_worst_ratio < 1.0, "{plan:?}: {summary}");
        }
    }
}

/// The numbers in a comma-separated environment variable.
fn numbers<T: std::str::FromStr>(variable: &str, default: &str) -> Vec<T> {
    let text = std::env::var(variable).unwrap_or_else(|_| default.into());
    let number = |part: &str| part.parse().unwrap_or_else(|_| panic!("{variable}: {part} is not a number"));
    text.split(',').map(number).collect()
}

#[test]
#[ignore = "prints the table of the documentation, takes minutes"]
fn print_table() {
    println!(
        "| scenario | routers | N at start | deadline s | load | overloads | worst | mean | served | by cold |"
    );
    let seeds = numbers("COLD_SEEDS", "20")[0];
    let (loads, fleets) = (numbers("COLD_LOADS", "0.6,0.9,1.5"), numbers("COLD_ROUTERS", "30,300"));
    let mut plans = Vec::new();
    for (capacity, deadline_ms) in [(13.4, 2000), (26.7, 2000), (53.4, 2000), (26.7, 5000)] {
        if std::env::var("COLD_FEW").is_ok() && (deadline_ms != 2000 || capacity > 30.0) {
            continue;
        }
        for scenario in SCENARIOS {
            for &routers in &fleets {
                for &load in &loads {
                    plans.push(Plan { scenario, routers, capacity, load, deadline_ms, seed: 0 });
                }
            }
        }
    }
    for plan in plans {
        let Summary { overloads, worst_ratio, mean_worst_ratio, served, served_by_cold_member, .. } =
            Summary::of(plan, seeds);
        let Plan { scenario, routers, capacity, load, deadline_ms, .. } = plan;
        let (start, deadline) = (2.5 * 0.15 * capacity, deadline_ms / 1000);
        println!(
            "| {scenario:?} | {routers} | {start:.0} | {deadline} | {load} | {overloads} | {worst_ratio:.2} | {mean_worst_ratio:.2} | {served:.3} | {served_by_cold_member:.3} |"
        );
    }
}
