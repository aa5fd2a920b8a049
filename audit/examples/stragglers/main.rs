//! How long until a straggler is brought up to date or fenced out: 100 routers with real [`audit::VersionFence`]s around a
//! real [`audit::VersionTracker`], 100 seeds, in simulated time. Prints the table of `docs/studies/audit.md`.
//!
//! Each router reports every 200 ms from a phase of its own, and fetches a version that it lacks in the same exchange. A
//! message takes 0.2 to 2 ms; an exchange fails with a chance of 1 %. At 5 s a version is set; from then on five routers
//! straggle in one way. Every 5 ms every router is asked to route a request, and what is routed is checked against what
//! the leader knows of the router.
mod simulation;

use decision::Micros;
use simulation::{Simulation, Straggling};

const MS: Micros = 1000;
const SEEDS: u64 = 100;

/// Results of all seeds of one way to straggle.
#[derive(Default)]
struct Summary {
    /// From when the version was set, or the straggler resumed, to when it was up to date or fenced, in microseconds.
    handling_times: Vec<Micros>,
    up_to_date: usize,
    fenced_out: usize,
    lease_expired: usize,
    /// Requests routed by an old version although the leader knew the router as fenced, and stragglers never handled.
    violations: usize,
    routed: usize,
}

impl Summary {
    fn percentile_ms(&self, fraction: f64) -> Micros {
        let last = self.handling_times.len() - 1;
        self.handling_times[(last as f64 * fraction).round() as usize] / MS
    }
}

fn main() {
    println!(
        "| stragglers | brought up | fenced out | by their lease | p50 | p99 | max | routed | under a fence |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let ways =
        [Straggling::SlowFetch, Straggling::FailingFetch, Straggling::Stopped, Straggling::Disconnected];
    for way in ways {
        let mut summary = Summary::default();
        (0..SEEDS).for_each(|seed| Simulation::new(seed, way).run(&mut summary));
        summary.handling_times.sort_unstable();
        println!(
            "| {way:?} | {} | {} | {} | {} ms | {} ms | {} ms | {} | {} |",
            summary.up_to_date,
            summary.fenced_out,
            summary.lease_expired,
            summary.percentile_ms(0.5),
            summary.percentile_ms(0.99),
            summary.percentile_ms(1.0),
            summary.routed,
            summary.violations
        );
        assert_eq!(summary.violations, 0, "{way:?}");
    }
}
