//! Simulates releases to 300 routers in 3 zones, together with 120 instances that operators drain, and prints
//! the results: `cargo run --release -p releases --example fleet [SEEDS [GROUP]]`.
mod report;
mod sim;

use releases::{DisruptionBudget, Limit};
use sim::scenario::{FleetSize, Incidents, MessageFaults};
use sim::{BadVersion, SECOND, Scenario, Simulation, limits, settings};
use std::sync::atomic::{AtomicU64, Ordering};

const THREADS: usize = 3;
const DEFAULT_SEEDS: u64 = 100;

/// A group of simulations with the same kind of target version and operator action.
#[derive(Clone, Copy)]
enum Group {
    GoodVersion,
    BadEverywhere,
    BadInOneZone,
    OperatorRollback,
}

impl Group {
    const ALL: [Group; 4] =
        [Group::GoodVersion, Group::BadEverywhere, Group::BadInOneZone, Group::OperatorRollback];

    /// The name of the group on the command line.
    fn name(self) -> &'static str {
        match self {
            Group::GoodVersion => "good version",
            Group::BadEverywhere => "bad everywhere",
            Group::BadInOneZone => "bad in one zone",
            Group::OperatorRollback => "operator's undo",
        }
    }

    fn bad_version(self, seed: u64) -> Option<BadVersion> {
        let error_rate = [0.03, 0.05, 0.1, 0.3][(seed % 4) as usize];
        match self {
            Group::GoodVersion | Group::OperatorRollback => None,
            Group::BadEverywhere => {
                let from_routers = (seed * 37 % 150) as usize;
                Some(BadVersion { from_routers, zone: None, error_rate })
            }
            Group::BadInOneZone => {
                let zone = Some((seed % 3) as usize);
                Some(BadVersion { from_routers: 0, zone, error_rate })
            }
        }
    }

    fn scenario(self, seed: u64) -> Scenario {
        let rolls_back = matches!(self, Group::OperatorRollback);
        let mut settings = settings();
        settings.max_lost_routers = 12;
        Scenario {
            size: FleetSize { zones: 3, routers: 300, instances: 120 },
            budget: DisruptionBudget {
                routers: limits(Limit::Percent(10), Limit::Count(12)),
                instances: limits(Limit::Percent(5), Limit::Count(3)),
            },
            settings,
            bad_version: self.bad_version(seed),
            message_faults: MessageFaults { loss: 0.005, duplication: 0.01 },
            incidents: Incidents {
                leader_loss: 0.005,
                disconnection: 0.002,
                router_failure: 0.002,
                drain: 0.2,
                budget_change: 0.0,
            },
            driver_kill: 0.001,
            roll_back_at: rolls_back.then_some((seed as i64 * 53 % 1000 + 30) * SECOND),
            until: 7200 * SECOND,
            ..Scenario::without_faults(seed)
        }
    }

    /// Runs all seeds of the group.
    fn run(self, seeds: u64) -> Vec<Simulation> {
        let next_seed = AtomicU64::new(0);
        let run_seeds = || {
            let mut simulations = Vec::new();
            loop {
                let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                if seed >= seeds {
                    return simulations;
                }
                simulations.push(Simulation::new(self.scenario(seed)).run());
            }
        };
        std::thread::scope(|scope| {
            let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(run_seeds)).collect();
            threads
                .into_iter()
                .flat_map(|thread| thread.join().expect("a simulation thread panicked"))
                .collect()
        })
    }
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let seeds =
        arguments.next().map_or(DEFAULT_SEEDS, |seeds| seeds.parse().expect("SEEDS must be an integer"));
    let selected = arguments.next();
    for group in Group::ALL {
        if selected.as_deref().is_none_or(|selected| selected == group.name()) {
            report::print(group.name(), &group.run(seeds));
        }
    }
}
