//! `soak`: runs router processes under overlapping faults, for many seeds.
use crate::error::Error;
use clap::Args;
use soak::draw::draw;
use soak::fault::{FaultKind, PlannedFault};
use soak::oracle::{self, Promise};
use soak::plan::Plan;
use soak::reduce;
use soak::report::Report;
use soak::router::Programs;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Arguments of `soak`.
#[derive(Args)]
pub struct SoakArguments {
    /// Plan of the run (TOML file); see `soak/plans` for examples
    plan: PathBuf,
    /// First random seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of seeds, which are run one after the other
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Generates only faults of these kinds
    #[arg(long, value_delimiter = ',')]
    only: Vec<FaultKind>,
    /// Runs further seeds until this many minutes have passed
    #[arg(long)]
    minutes: Option<u64>,
    /// Path of the router program; defaults to `damsonvale` next to this program
    #[arg(long)]
    program: Option<PathBuf>,
    /// For the first seed that fails, removes faults as long as the run still fails, and prints the reduced
    /// plan
    #[arg(long)]
    reduce: bool,
    /// Writes the processes' logs at level debug to this folder; `life` can read them
    #[arg(long)]
    logs: Option<PathBuf>,
    /// Prints the faults of each seed
    #[arg(long)]
    troubles: bool,
}

/// Runs a plan with each seed, and prints a report for each run.
///
/// # Errors
/// Returns an error if the plan is invalid, the run could not be completed, the router program was not found,
/// or a guarantee was violated.
pub fn run(arguments: &SoakArguments) -> Result<(), Error> {
    let plan = Plan::read(&arguments.plan)?;
    let programs = find_programs(arguments)?;
    let start = Instant::now();
    let mut totals = Totals::default();
    let mut seed = arguments.seed;
    loop {
        let faults = draw(&plan, seed, &arguments.only);
        if arguments.troubles {
            faults.iter().for_each(|fault| println!("  {fault}"));
        }
        let report = run_seed(&plan, seed, &faults, &programs)?;
        print!("{report}");
        totals.add(&report);
        if arguments.reduce && !report.breaches.is_empty() {
            return print_reduced(&plan, &report, &programs);
        }
        seed += 1;
        let time_left =
            arguments.minutes.is_some_and(|minutes| start.elapsed() < Duration::from_secs(60 * minutes));
        if !time_left && seed >= arguments.seed + arguments.seeds {
            break;
        }
    }
    totals.print(arguments.seed, start.elapsed());
    if totals.failed > 0 { Err(Error::ViolationFound) } else { Ok(()) }
}

/// Returns the programs to run and the folder for their logs.
fn find_programs(arguments: &SoakArguments) -> Result<Programs, Error> {
    let default_path = || {
        let current_exe = std::env::current_exe().ok()?;
        Some(current_exe.parent()?.join("damsonvale"))
    };
    let router = arguments.program.clone().or_else(default_path).filter(|path| path.exists());
    let mut programs = Programs::for_router(&router.ok_or(Error::ProgramNotFound)?);
    if let Some(folder) = &arguments.logs {
        std::fs::create_dir_all(folder).map_err(|source| Error::write(folder, source))?;
        programs.logs = Some(folder.clone());
    }
    if programs.library.is_none() {
        eprintln!(
            "no libfaults.so next to the router (cargo build -p faults): clock and system call faults are off"
        );
    }
    Ok(programs)
}

fn run_seed(plan: &Plan, seed: u64, faults: &[PlannedFault], programs: &Programs) -> Result<Report, Error> {
    let history = soak::play::run_plan(plan, seed, faults, programs).map_err(Error::Soak)?;
    let breaches = oracle::check(&history);
    Ok(Report::new(seed, faults, &history, breaches))
}

/// Totals over all seeds.
#[derive(Default)]
struct Totals {
    seeds: u64,
    failed: u64,
    processes: usize,
    requests: usize,
}

impl Totals {
    fn add(&mut self, report: &Report) {
        self.seeds += 1;
        self.failed += u64::from(!report.breaches.is_empty());
        self.processes += report.processes;
        self.requests += report.requests();
    }

    fn print(&self, first_seed: u64, elapsed: Duration) {
        let Totals { seeds, failed, processes, requests } = self;
        let minutes = elapsed.as_secs_f64() / 60.0;
        println!(
            "{seeds} seeds from {first_seed} on, {processes} processes, {requests} requests, {minutes:.1} minutes, \
             {failed} seeds with breaches"
        );
    }
}

/// Reduces the faults of a failing run and prints the reduced plan.
fn print_reduced(plan: &Plan, report: &Report, programs: &Programs) -> Result<(), Error> {
    let promise = report.breaches[0].promise;
    println!("reducing the {} faults of a run that violates '{}'", report.faults.len(), promise.name());
    let still_violates = |faults: &[PlannedFault], promise: Promise| {
        run_seed(plan, report.seed, faults, programs)
            .is_ok_and(|report| oracle::promises(&report.breaches).contains(&promise))
    };
    let reduced = reduce::reduce(&report.faults, promise, still_violates);
    println!("{}", toml::to_string(&Plan { faults: reduced, ..plan.clone() })?);
    Err(Error::ViolationFound)
}
