//! Simulates fleets whose demand moves between routers, without faults, and compares which requests are
//! admitted when with recorded output of an earlier build. Demand is sparse, at one router, or spread out;
//! the simulations run longer than those of `recorded_run.rs`.
mod simulation;
use decision::Micros;
use quotas::Settings;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use settings::fleet::OnLoss;
use simulation::{Fault, Simulation, fleet, quota};
use std::fmt::Write;
use testkit::fixture::Fixtures;
use testkit::hash::fnv1a;

const FIXTURES: Fixtures = testkit::fixtures!();
const SECOND: Micros = 1_000_000;
const SEEDS: u64 = 8;
const ROUTERS: usize = 30;
const TENANTS: usize = 3;
const MOVES: i64 = 5;
/// The time between two moves of demand, microseconds.
const MOVE_INTERVAL: Micros = 16 * SECOND;

/// A tenant's requests per second at each router, drawn at random for each move.
fn demand(random: &mut SmallRng) -> Vec<f64> {
    let pattern = random.random_range(0..5);
    let busy = random.random_range(0..ROUTERS);
    let rate = |router: usize| match pattern {
        0 => 0.0,
        1 => 1.0,
        2 => 0.3,
        3 => [0.0, 100.0][usize::from(router == busy)],
        _ => [0.0, 4.0][usize::from(router % 3 == busy % 3)],
    };
    (0..ROUTERS).map(rate).collect()
}

fn simulate(seed: u64) -> Simulation {
    let quotas = [
        ("a".to_string(), quota(20.0, 150, OnLoss::Closed)),
        ("b".to_string(), quota(60.0, 40, OnLoss::Closed)),
        ("c".to_string(), quota(15.0, 12, OnLoss::Closed)),
    ];
    let fleet = fleet(ROUTERS as u32, &quotas);
    let mut simulation = Simulation::new(seed, ROUTERS, fleet, Settings::default(), false);
    let mut random = SmallRng::seed_from_u64(seed);
    for begin in (0..MOVES).map(|i| 1 + i * MOVE_INTERVAL) {
        for tenant in 0..TENANTS {
            for (router, rate) in demand(&mut random).into_iter().enumerate() {
                simulation.schedule(begin, Fault::SetDemand { router, tenant, rate });
            }
        }
    }
    simulation.run_until(MOVES * MOVE_INTERVAL);
    simulation
}

/// The number of requests admitted and shed, and a hash of each admission's tenant, time and router.
fn summary_line(seed: u64, simulation: &Simulation) -> String {
    let mut admissions = String::new();
    for (tenant, requests) in simulation.history.iter().enumerate() {
        for request in requests {
            writeln!(admissions, "{tenant} {} {}", request.at, request.router).unwrap();
        }
    }
    let (admitted, shed) = (admissions.lines().count(), simulation.totals.shed);
    format!("seed {seed}: admitted={admitted} shed={shed} admissions={:016x}", fnv1a(admissions))
}

#[test]
fn admissions_of_moving_demand_match_recorded_output() {
    let mut lines = String::new();
    for seed in 1..=SEEDS {
        writeln!(lines, "{}", summary_line(seed, &simulate(seed))).unwrap();
    }
    FIXTURES.assert_same("recorded_distribution.txt", lines);
}
