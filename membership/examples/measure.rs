//! The figures of `docs/design/membership.md`, from simulated networks:
//! `cargo run --release -p membership --example measure`.
use membership::simulation::Simulation;
use membership::{Action, Settings};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
/// Failures and leaves that are averaged.
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

/// A fleet that has joined, and how long that took.
fn fleet(size: usize, seed: u64) -> (Simulation, Duration) {
    let mut simulation = Simulation::new(Settings::default(), seed);
    for router in 0..size {
        simulation.add(1 + router as u64, &[0, 1, 2]).expect("a router");
    }
    let joined = simulation.run_until(120 * SECOND, Simulation::all_agree).expect("joined");
    (simulation, joined)
}

/// Bytes a second and router over this time.
fn sent_per_router(simulation: &mut Simulation, time: Duration) -> u64 {
    let (before, running) = (simulation.sent_bytes(), simulation.running().count() as u64);
    simulation.run(time);
    (simulation.sent_bytes() - before) / running / time.as_secs()
}

/// How long it took others to see one router fail or leave, each time.
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
        let all = simulation.run_until(60 * SECOND, Simulation::all_agree).expect("seen to fail");
        self.failure_all.push(all);
        let name = simulation.routers[router].machine.local().name();
        let reports = simulation.reports.iter().filter(|report| report.at >= since);
        let first = reports
            .filter(|report| matches!(&report.action, Action::Down(member) if member.name() == name))
            .map(|report| report.at - since)
            .min();
        self.failure_first.push(first.expect("reported"));
    }

    fn leave(&mut self, simulation: &mut Simulation, router: usize) {
        simulation.leave(router);
        let gone = |simulation: &Simulation| simulation.count_listing(router) == 0;
        self.leave_all.push(simulation.run_until(60 * SECOND, gone).expect("seen to leave"));
    }
}

fn rejoin(simulation: &mut Simulation, router: usize, generation: u64) {
    simulation.restart(router, generation, &[0, 1, 2]).expect("a router");
    simulation.run_until(60 * SECOND, Simulation::all_agree).expect("back");
    simulation.run(10 * SECOND);
}

fn mean(times: &[Duration]) -> f64 {
    times.iter().sum::<Duration>().as_secs_f64() / times.len() as f64
}

/// How long the survivors take to agree when 70 % are killed at once.
fn mass_failure(size: usize) -> Duration {
    let (mut simulation, _) = fleet(size, 2);
    (0..size).filter(|router| router % 10 < 7).for_each(|router| simulation.kill(router));
    simulation.run_until(300 * SECOND, Simulation::all_agree).expect("survivors agree")
}

/// Members reported down in ten minutes in which a hundredth of all datagrams is lost and nobody fails.
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
    let rest = sent_per_router(&mut simulation, 30 * SECOND);
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
    let worst = detection.failure_all.iter().max().expect("some").as_secs_f64();
    format!(
        "| {size} | {:.1} s | {:.1} s | {:.1} s | {worst:.1} s | {:.2} s | {rest} | {failing} | {:.1} s | {} |",
        joined.as_secs_f64(),
        mean(&detection.failure_first),
        mean(&detection.failure_all),
        mean(&detection.leave_all),
        mass_failure(size).as_secs_f64(),
        false_downs(size),
    )
}
