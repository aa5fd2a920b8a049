//! Measures simulated networks and prints the table of figures in `docs/design/membership.md`:
//! `cargo run --release -p membership --example measure`.
use membership::simulation::Simulation;
use membership::{Action, Settings};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
/// Number of failures and of leaves that are averaged.
const ROUNDS: usize = 20;

fn main() {
    println!(
        "| members | join | fail, first | fail, all | worst of 20 | leave, all | B/s at rest | B/s, 10 s of a failure | 70 % killed | false downs in 10 min |"
    );
    println!("| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    for size in [10, 50, 300] {
        println!("{}", row(size));
    }
}

/// A fleet whose routers all list each other, and the time that this took.
fn fleet(size: usize, seed: u64) -> (Simulation, Duration) {
    let mut simulation = Simulation::new(Settings::default(), seed);
    for router in 0..size {
        simulation.add(1 + router as u64, &[0, 1, 2]).expect("the router can be started");
    }
    let joined = simulation.run_until(120 * SECOND, Simulation::all_agree).expect("all routers join");
    (simulation, joined)
}

/// Bytes sent per second and router in this time.
fn sent_per_router(simulation: &mut Simulation, time: Duration) -> u64 {
    let (before, running) = (simulation.sent_bytes(), simulation.running().count() as u64);
    simulation.run(time);
    (simulation.sent_bytes() - before) / running / time.as_secs()
}

/// For each round, the time in which the remaining routers detected that a router failed or left.
#[derive(Default)]
struct Detection {
    failure_first: Vec<Duration>,
    failure_all: Vec<Duration>,
    leave_all: Vec<Duration>,
}

impl Detection {
    fn fail(&mut self, simulation: &mut Simulation, router: usize) {
        let since = simulation.now;
        simulation.kill(router);
        let all = simulation.run_until(60 * SECOND, Simulation::all_agree).expect("the failure is detected");
        self.failure_all.push(all);
        let name = simulation.routers[router].machine.local().name();
        let reports = simulation.reports.iter().filter(|report| report.at >= since);
        let first = reports
            .filter(|report| matches!(&report.action, Action::Down(member) if member.name() == name))
            .map(|report| report.at - since)
            .min();
        self.failure_first.push(first.expect("the failure is reported"));
    }

    fn leave(&mut self, simulation: &mut Simulation, router: usize) {
        simulation.leave(router);
        let is_unlisted = |simulation: &Simulation| simulation.count_listing(router) == 0;
        self.leave_all.push(simulation.run_until(60 * SECOND, is_unlisted).expect("the leave is detected"));
    }
}

fn rejoin(simulation: &mut Simulation, router: usize, generation: u64) {
    simulation.restart(router, generation, &[0, 1, 2]).expect("the router can be started");
    simulation.run_until(60 * SECOND, Simulation::all_agree).expect("the router rejoins");
    simulation.run(10 * SECOND);
}

fn mean(times: &[Duration]) -> f64 {
    times.iter().sum::<Duration>().as_secs_f64() / times.len() as f64
}

/// The time until the survivors' lists agree after 70 % of the routers were killed at once.
fn mass_failure(size: usize) -> Duration {
    let (mut simulation, _) = fleet(size, 2);
    (0..size).filter(|router| router % 10 < 7).for_each(|router| simulation.kill(router));
    simulation.run_until(300 * SECOND, Simulation::all_agree).expect("the survivors agree")
}

/// Number of members reported down in ten minutes without failures and with a loss of 1 % of all datagrams.
fn false_downs(size: usize) -> usize {
    let (mut simulation, _) = fleet(size, 3);
    let before = simulation.reports.len();
    simulation.loss = 0.01;
    simulation.run(600 * SECOND);
    simulation.reports[before..].iter().filter(|report| matches!(report.action, Action::Down(_))).count()
}

fn row(size: usize) -> String {
    let (mut simulation, joined) = fleet(size, 1);
    simulation.run(30 * SECOND);
    let idle = sent_per_router(&mut simulation, 30 * SECOND);
    let mut detection = Detection::default();
    for round in 0..ROUNDS {
        let router = 3 + round % (size - 3);
        detection.fail(&mut simulation, router);
        rejoin(&mut simulation, router, 1_000 + round as u64);
        detection.leave(&mut simulation, router);
        rejoin(&mut simulation, router, 2_000 + round as u64);
    }
    let mut failing = Vec::new();
    for router in 3..6 {
        simulation.kill(router);
        failing.push(sent_per_router(&mut simulation, 10 * SECOND));
    }
    let failing = failing.iter().sum::<u64>() / failing.len() as u64;
    let worst = detection.failure_all.iter().max().expect("there is at least one round").as_secs_f64();
    format!(
        "| {size} | {:.1} s | {:.1} s | {:.1} s | {worst:.1} s | {:.2} s | {idle} | {failing} | {:.1} s | {} |",
        joined.as_secs_f64(),
        mean(&detection.failure_first),
        mean(&detection.failure_all),
        mean(&detection.leave_all),
        mass_failure(size).as_secs_f64(),
        false_downs(size),
    )
}
