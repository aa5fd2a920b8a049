//! Prints the results of a group of simulations.
use crate::sim::{FirstFailure, Halt, SECOND, Simulation, target_version};
use releases::{Phase, RouterStep};

/// The largest number of violations that are printed for a group.
const MAX_PRINTED_VIOLATIONS: usize = 3;

pub(crate) fn print(name: &str, simulations: &[Simulation]) {
    println!("## {name}: {} runs", simulations.len());
    print_checks(simulations);
    print_ends(simulations);
    print_reservations(simulations);
    print_halts(simulations);
    print_rollbacks(simulations);
    print_not_updated(simulations);
}

fn count(simulations: &[Simulation], is_counted: impl Fn(&Simulation) -> bool) -> usize {
    simulations.iter().filter(|simulation| is_counted(simulation)).count()
}

fn sum(simulations: &[Simulation], figure: impl Fn(&Simulation) -> u64) -> u64 {
    simulations.iter().map(figure).sum()
}

fn max(simulations: &[Simulation], figure: impl Fn(&Simulation) -> usize) -> usize {
    simulations.iter().map(figure).max().unwrap_or(0)
}

/// The median and the maximum of the values.
fn median_and_max(values: impl Iterator<Item = i64>) -> String {
    let mut values: Vec<i64> = values.collect();
    values.sort_unstable();
    match values.last() {
        Some(max) => format!("{} / {max}", values[values.len() / 2]),
        None => "-".into(),
    }
}

fn print_checks(simulations: &[Simulation]) {
    println!("violations of the checker: {}", sum(simulations, |s| s.outcome.violations.len() as u64));
    let with_violations = simulations.iter().filter(|s| !s.outcome.violations.is_empty());
    for simulation in with_violations.take(MAX_PRINTED_VIOLATIONS) {
        println!("  seed {}: {}", simulation.scenario.seed, simulation.outcome.violations[0]);
    }
}

fn print_ends(simulations: &[Simulation]) {
    println!(
        "releases: completed {}, rolled back {}, not ended {}",
        count(simulations, |s| s.snapshot.phase == Phase::Completed),
        count(simulations, |s| s.snapshot.phase == Phase::RolledBack),
        count(simulations, |s| s.outcome.ended_at.is_none())
    );
}

fn print_reservations(simulations: &[Simulation]) {
    println!(
        "maximum out of service at the same time: routers {}, instances {}",
        max(simulations, |s| s.outcome.max_routers_out),
        max(simulations, |s| s.outcome.max_instances_out)
    );
    let bytes = |s: &Simulation| serde_json::to_string(&s.snapshot).map_or(0, |text| text.len());
    println!("maximum size of a release's snapshot as JSON, bytes: {}", max(simulations, bytes));
    println!(
        "reservations granted {}, denied {}, expired {}; drivers killed {}, leaders lost {}",
        sum(simulations, |s| s.outcome.grants),
        sum(simulations, |s| s.outcome.denials),
        sum(simulations, |s| s.outcome.expired_reservations),
        sum(simulations, |s| s.outcome.driver_kills),
        sum(simulations, |s| s.outcome.elections)
    );
    let minutes = simulations.iter().filter_map(|s| s.outcome.ended_at).map(|at| at / SECOND / 60);
    println!("minutes to the end, median / max: {}", median_and_max(minutes));
}

fn halt_for_worse_stats(simulation: &Simulation) -> Option<&Halt> {
    simulation.outcome.halts.iter().find(|halt| halt.is_for_worse_stats())
}

fn print_halts(simulations: &[Simulation]) {
    let other_halts =
        |s: &Simulation| s.outcome.halts.iter().filter(|halt| !halt.is_for_worse_stats()).count() as u64;
    println!(
        "halts for worse statistics in {} runs; other halts {}",
        count(simulations, |s| halt_for_worse_stats(s).is_some()),
        sum(simulations, other_halts)
    );
    let failing = simulations.iter().filter(|s| s.outcome.first_failure.is_some()).count();
    if failing == 0 {
        return;
    }
    let halted: Vec<(FirstFailure, &Halt)> = simulations
        .iter()
        .filter_map(|s| Some((s.outcome.first_failure?, halt_for_worse_stats(s)?)))
        .collect();
    println!("runs with requests failed by the version: {failing}, halted: {}", halted.len());
    let waves = halted.iter().map(|(first, halt)| i64::from(halt.wave) - i64::from(first.wave));
    println!("waves from first failure to halt, median / max: {}", median_and_max(waves));
    let seconds = halted.iter().map(|(first, halt)| (halt.at - first.at) / SECOND);
    println!("seconds from first failure to halt, median / max: {}", median_and_max(seconds));
    let failed = simulations.iter().map(|s| s.outcome.failed_requests as i64);
    println!("requests failed by the version, median / max: {}", median_and_max(failed));
}

fn print_rollbacks(simulations: &[Simulation]) {
    let seconds =
        simulations.iter().filter_map(|s| Some((s.outcome.ended_at? - s.outcome.rollback_at?) / SECOND));
    println!("duration of rollbacks in seconds, median / max: {}", median_and_max(seconds));
    let rolled_back = |s: &&Simulation| s.snapshot.phase == Phase::RolledBack;
    println!(
        "routers that run the target version at the end: {}; in runs rolled back: {}",
        sum(simulations, |s| s.outcome.at_target as u64),
        simulations.iter().filter(rolled_back).map(|s| s.outcome.at_target).sum::<usize>()
    );
    simulations.iter().filter(rolled_back).for_each(print_not_rolled_back);
}

fn print_not_rolled_back(simulation: &Simulation) {
    let at_target =
        simulation.nodes.iter().filter(|(_, node)| node.version == target_version() && !node.has_failed);
    for (name, node) in at_target {
        let step = simulation.snapshot.routers[name].step;
        let seconds = (node.disconnected_until - simulation.now) / SECOND;
        let seed = simulation.scenario.seed;
        println!(
            "  seed {seed}: {name} is still at the target version ({step:?}); disconnected for {seconds} s more"
        );
    }
}

fn print_not_updated(simulations: &[Simulation]) {
    let at_step = |step| {
        let routers = simulations.iter().flat_map(|s| s.snapshot.routers.values());
        routers.filter(|state| state.step == step).count()
    };
    let failed_routers =
        simulations.iter().flat_map(|s| s.nodes.values()).filter(|node| node.has_failed).count();
    println!(
        "routers not updated: {} lost, {} not rolled back; failed {failed_routers}\n",
        at_step(RouterStep::Lost),
        at_step(RouterStep::RollbackFailed)
    );
}
