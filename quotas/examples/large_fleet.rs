//! Simulates large fleets in one thread:
//! `cargo run --release -p quotas --example large_fleet -- [routers] [tenants] [seeds] [burst]`.
//!
//! For each seed, the demand of three tenants moves to one router, then to all routers, then back to one.
//! Afterwards routers are paused, disconnected and killed, and the leader changes. Prints the number of seeds
//! in which a window exceeds the quota (must be 0), the part of the quota that is admitted from two seconds
//! after each move, message bytes and handling times.
#[path = "../tests/simulation/mod.rs"]
mod simulation;
use decision::Micros;
use quotas::Settings;
use rand::RngExt;
use settings::fleet::{Fleet, OnLoss};
use simulation::{Fault, Simulation, fleet, quota};

const SECOND: Micros = 1_000_000;
/// The number of tenants whose demand moves. The tenant after them has sparse demand at all routers.
const MOVING_TENANTS: usize = 3;
/// The quota of a moving tenant, requests per second.
const RATE: f64 = 2_000.0;
/// The quota of all other tenants, requests per second.
const OTHER_RATE: f64 = 500.0;
/// The demand of a moving tenant, as a multiple of its quota.
const OFFERED_LOAD_FACTOR: f64 = 3.0;
/// Requests per second of the tenant with sparse demand at each router.
const SPARSE_RATE: f64 = 0.2;

#[derive(Clone, Copy)]
enum Spread {
    OneRouter,
    AllRouters,
}

/// The results of all seeds.
#[derive(Default)]
struct Results {
    violations: u64,
    first_violation: Option<String>,
    to_one: Vec<f64>,
    to_all: Vec<f64>,
    back_to_one: Vec<f64>,
    sparse_shares: Vec<f64>,
    /// Bytes of responses per router and second, summed over all moves.
    bytes_after_move: f64,
    bytes_later: f64,
    /// Bytes of reports per router and second, summed over all seeds.
    report_bytes: f64,
    /// The time to handle a report, microseconds: the sum of the averages of all seeds, and the maximum.
    handling_micros: f64,
    max_handling_micros: f64,
}

/// The simulated fleet of one seed.
struct Run {
    simulation: Simulation,
    routers: usize,
}

impl Run {
    fn new(seed: u64, routers: usize, fleet: Fleet) -> Run {
        let mut simulation = Simulation::new(seed, routers, fleet, Settings::default(), false);
        simulation.measure = true;
        // The sparse tenant uses its reserved shares: each router has one request in five seconds.
        for router in 0..routers {
            let demand = Fault::SetDemand { router, tenant: MOVING_TENANTS, rate: SPARSE_RATE };
            simulation.schedule(1, demand);
        }
        simulation.run_until(4 * SECOND);
        Run { simulation, routers }
    }

    fn move_demand(&mut self, spread: Spread) {
        for tenant in 0..MOVING_TENANTS {
            for router in 0..self.routers {
                let rate = match spread {
                    Spread::AllRouters => RATE * OFFERED_LOAD_FACTOR / self.routers as f64,
                    Spread::OneRouter if router == tenant * 7 % self.routers => RATE * OFFERED_LOAD_FACTOR,
                    Spread::OneRouter => 0.0,
                };
                self.simulation.schedule(self.simulation.now, Fault::SetDemand { router, tenant, rate });
            }
        }
    }

    /// Moves demand and returns the part of its quota that each moving tenant uses from two seconds after the
    /// move.
    fn shares_after_move(&mut self, spread: Spread, results: &mut Results) -> Vec<f64> {
        self.move_demand(spread);
        let begin = self.simulation.now;
        results.bytes_after_move += self.response_bytes_until(begin + 2 * SECOND);
        results.bytes_later += self.response_bytes_until(begin + 6 * SECOND);
        let admitted = |tenant| self.simulation.admitted(tenant, begin + 2 * SECOND, self.simulation.now);
        (0..MOVING_TENANTS).map(|tenant| admitted(tenant) as f64 / (RATE * 4.0)).collect()
    }

    /// Runs until `end` and returns the bytes of responses per router and second.
    fn response_bytes_until(&mut self, end: Micros) -> f64 {
        let (begin, before) = (self.simulation.now, self.simulation.totals.response_bytes);
        self.simulation.run_until(end);
        let bytes = (self.simulation.totals.response_bytes - before) as f64;
        bytes / self.routers as f64 / ((end - begin) / SECOND) as f64
    }

    fn sparse_share(&self) -> f64 {
        let requested = SPARSE_RATE * self.routers as f64 * 18.0;
        self.simulation.admitted(MOVING_TENANTS, 4 * SECOND, self.simulation.now) as f64 / requested
    }

    /// Runs with faults; afterwards only the quota bound is checked.
    fn run_with_faults(&mut self) {
        let begin = self.simulation.now;
        for _ in 0..self.routers / 10 {
            self.schedule_random_fault(begin);
        }
        for after in [SECOND, SECOND + SECOND / 2, 5 * SECOND] {
            let node = self.simulation.random.random_range(0..3);
            self.simulation.schedule(begin + after, Fault::Elect { node });
        }
        self.move_demand(Spread::AllRouters);
        self.simulation.run_until(begin + 4 * SECOND);
        self.move_demand(Spread::OneRouter);
        self.simulation.run_until(begin + 9 * SECOND);
    }

    fn schedule_random_fault(&mut self, begin: Micros) {
        let random = &mut self.simulation.random;
        let router = random.random_range(0..self.routers);
        let at = begin + random.random_range(0..6 * SECOND);
        let duration = random.random_range(SECOND / 10..4 * SECOND);
        let fault = match random.random_range(0..4) {
            0 => Fault::Disconnect { router, duration },
            1 => Fault::Pause { router, duration },
            2 => Fault::Kill { router, downtime: duration / 4 },
            _ => Fault::Shutdown { router, downtime: duration / 4 },
        };
        self.simulation.schedule(at, fault);
    }
}

impl Results {
    fn add_seed(&mut self, seed: u64, routers: usize, fleet: Fleet) {
        let mut run = Run::new(seed, routers, fleet);
        let shares = run.shares_after_move(Spread::OneRouter, self);
        self.to_one.extend(shares);
        let shares = run.shares_after_move(Spread::AllRouters, self);
        self.to_all.extend(shares);
        let shares = run.shares_after_move(Spread::OneRouter, self);
        self.back_to_one.extend(shares);
        self.sparse_shares.push(run.sparse_share());
        run.run_with_faults();
        let seconds = (run.simulation.now / SECOND) as f64;
        let totals = &run.simulation.totals;
        self.report_bytes += totals.report_bytes as f64 / routers as f64 / seconds;
        self.handling_micros += totals.handling_time.as_secs_f64() * 1e6 / totals.reports as f64;
        self.max_handling_micros = self.max_handling_micros.max(totals.max_handling_time.as_secs_f64() * 1e6);
        if let Err(error) = run.simulation.check_bound() {
            self.violations += 1;
            self.first_violation.get_or_insert_with(|| format!("seed {seed}: {error}"));
        }
    }

    fn print(mut self, seeds: u64) {
        println!(
            "seeds with a window over the quota: {} {}",
            self.violations,
            self.first_violation.unwrap_or_default()
        );
        print_shares("to one router", &mut self.to_one);
        print_shares("spread over all", &mut self.to_all);
        print_shares("back to one", &mut self.back_to_one);
        print_shares("sparse demand", &mut self.sparse_shares);
        let seeds = seeds as f64;
        let moves = seeds * 3.0;
        println!(
            "responses, bytes per router and second: {:.0} in the 2 s after a move, {:.0} later; reports {:.0}",
            self.bytes_after_move / moves,
            self.bytes_later / moves,
            self.report_bytes / seeds
        );
        let average = self.handling_micros / seeds;
        println!(
            "handling time of a report: {average:.1} us on average, {:.0} us at most",
            self.max_handling_micros
        );
    }
}

fn print_shares(name: &str, shares: &mut [f64]) {
    shares.sort_by(f64::total_cmp);
    let (min, median) = (shares[0], shares[shares.len() / 2]);
    println!("{name}: minimum {min:.3}, median {median:.3} of what the quota allows");
}

fn main() {
    let mut args = std::env::args().skip(1).map(|arg| arg.parse::<usize>().unwrap_or(0));
    let routers = args.next().unwrap_or(300);
    let tenants = args.next().unwrap_or(1_000);
    let seeds = args.next().unwrap_or(100) as u64;
    let burst = args.next().unwrap_or(routers * 5) as u32;
    let tenant = |i: usize| {
        let rate = if i < MOVING_TENANTS { RATE } else { OTHER_RATE };
        (format!("tenant-{i:04}"), quota(rate, burst, OnLoss::Closed))
    };
    let quotas: Vec<_> = (0..tenants).map(tenant).collect();
    let mut results = Results::default();
    for seed in 0..seeds {
        results.add_seed(seed, routers, fleet(routers as u32, &quotas));
    }
    println!("{routers} routers, {tenants} tenants, burst {burst}, {seeds} seeds");
    results.print(seeds);
}
