//! Measures how much of its quota a tenant with sparse demand can use: each of many routers has about one
//! request per second: `cargo run --release -p quotas --example sparse_demand -- [routers] [seeds]`.
#[path = "../tests/simulation/mod.rs"]
mod simulation;
use decision::Micros;
use quotas::Settings;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use settings::fleet::OnLoss;
use simulation::{Fault, Simulation, fleet, quota};
use std::ops::Range;

const SECOND: Micros = 1_000_000;
/// The periods in which a tenant's share of the quota is measured, seconds.
const EARLY: Range<i64> = 6..26;
const LATE: Range<i64> = 40..80;
/// The number of simulated buckets for the comparison with a fixed, equal division of the quota.
const SPLIT_ROUNDS: u32 = 3_000;

fn simulate(seed: u64, routers: usize, rate: f64, burst: u32) -> Simulation {
    let tenant = quota(rate, burst, OnLoss::Closed);
    let fleet = fleet(routers as u32, &[("t".to_string(), tenant)]);
    Simulation::new(seed, routers, fleet, Settings::default(), false)
}

/// Simulates demand at all routers that then moves to a few of them. Prints the share of the quota used in
/// each period of two seconds after the move.
fn print_move(routers: usize, rate: f64, few: usize, rate_each: f64) {
    let mut simulation = simulate(7, routers, rate, (routers * 5) as u32);
    simulation.measure = true;
    for router in 0..routers {
        let all = rate * 1.5 / routers as f64;
        let few = if router < few { rate_each } else { 0.0 };
        simulation.schedule(SECOND, Fault::SetDemand { router, tenant: 0, rate: all });
        simulation.schedule(20 * SECOND, Fault::SetDemand { router, tenant: 0, rate: few });
    }
    simulation.run_until(22 * SECOND);
    let bytes = simulation.totals.response_bytes as f64 / 22.0 / routers as f64;
    print!(
        "demand moves from all routers to {few} with {rate_each} requests per second each, burst / routers 5:"
    );
    for _ in 0..10 {
        let begin = simulation.now;
        simulation.run_until(begin + 2 * SECOND);
        let max = rate.min(rate_each * few as f64) * 2.0;
        print!(" {:.3}", simulation.admitted(0, begin, simulation.now) as f64 / max);
    }
    println!(
        " (share used in each 2 s period, starting 2 s after the move); \
         responses until then: {bytes:.0} bytes per router and second"
    );
}

/// The mean share of the quota, or of the demand if that is less, that is admitted in the early and in the
/// late period.
fn mean_shares(routers: usize, seeds: u64, rate: f64, burst_each: f64, rate_each: f64) -> (f64, f64) {
    let max = rate.min(rate_each * routers as f64);
    let (mut early, mut late) = (0.0, 0.0);
    for seed in 0..seeds {
        let mut simulation = simulate(seed, routers, rate, (routers as f64 * burst_each) as u32);
        for router in 0..routers {
            simulation.schedule(SECOND, Fault::SetDemand { router, tenant: 0, rate: rate_each });
        }
        simulation.run_until(80 * SECOND);
        let share = |span: Range<i64>| {
            let admitted = simulation.admitted(0, span.start * SECOND, span.end * SECOND);
            admitted as f64 / max / (span.end - span.start) as f64
        };
        early += share(EARLY);
        late += share(LATE);
        assert!(simulation.check_bound().is_ok(), "seed {seed}: a window exceeds the quota");
    }
    (early / seeds as f64, late / seeds as f64)
}

/// The admitted share of the quota, or of the demand if that is less, for a fixed division of the quota: what
/// a bucket of `burst` tokens at `rate` per second, empty at 2 s as in the fleet, admits of random requests
/// at `demand` per second.
fn split_share(rate: f64, burst: f64, demand: f64, span: Range<i64>) -> f64 {
    let (from, to) = (span.start as f64, span.end as f64);
    let mut random = SmallRng::seed_from_u64(1);
    let mut admitted = 0;
    for _ in 0..SPLIT_ROUNDS {
        let (mut level, mut time) = (0.0f64, 2.0);
        while time < to {
            let wait = -(1.0 - random.random::<f64>()).ln() / demand;
            time += wait;
            level = (level + wait * rate).min(burst);
            if level >= 1.0 {
                level -= 1.0;
                admitted += u32::from((from..to).contains(&time));
            }
        }
    }
    f64::from(admitted) / f64::from(SPLIT_ROUNDS) / (to - from) / rate.min(demand)
}

fn print_table(routers: usize, seeds: u64, rate: f64) {
    println!(
        "| requests at each router per second | burst / routers | 6 to 26 s | fixed split | 40 to 80 s | fixed split |"
    );
    println!("| ---: | ---: | ---: | ---: | ---: | ---: |");
    for rate_each in [0.3, 0.6, 1.0, 3.0, 10.0] {
        for burst_each in [1.1, 2.0, 5.0, 11.0] {
            let (early, late) = mean_shares(routers, seeds, rate, burst_each, rate_each);
            let split = |span| split_share(rate / routers as f64, burst_each, rate_each, span);
            let (split_early, split_late) = (split(EARLY), split(LATE));
            println!(
                "| {rate_each} | {burst_each} | {early:.2} | {split_early:.2} | {late:.2} | {split_late:.2} |"
            );
        }
    }
}

fn main() {
    let mut args = std::env::args().skip(1).map(|arg| arg.parse::<usize>().unwrap_or(0));
    let routers = args.next().unwrap_or(300);
    let seeds = args.next().unwrap_or(5) as u64;
    let rate = routers as f64 * 2.0 / 3.0;
    println!(
        "{routers} routers, {rate:.0} per second; share of the quota, or of the demand where that is less"
    );
    for (few, rate_each) in [(100, 2.0), (1, 1_000.0), (30, 20.0)] {
        print_move(routers, rate, few, rate_each);
    }
    print_table(routers, seeds, rate);
}
