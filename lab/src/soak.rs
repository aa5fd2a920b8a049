//! `soak`: real routers under overlapping faults, for many seeds.
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
    /// The plan, a TOML file; `soak/plans` has some.
    plan: PathBuf,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds are played, one after the other.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Only these troubles are drawn.
    #[arg(long, value_delimiter = ',')]
    only: Vec<FaultKind>,
    /// Goes on with further seeds until so many minutes are over.
    #[arg(long)]
    minutes: Option<u64>,
    /// The router; the one beside this program where it is not given.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Of the first seed that fails, leaves out troubles while it still does, and prints the plan that is left.
    #[arg(long)]
    reduce: bool,
    /// Writes the processes' logs into this folder, at the level debug; `life` reads a request back from one.
    #[arg(long)]
    logs: Option<PathBuf>,
    /// Prints the troubles of each seed.
    #[arg(long)]
    troubles: bool,
}

/// Plays the seeds of a plan, and prints a report of each.
///
/// # Errors
/// The plan can't be read or played, the router's program was not found, or a seed had a breach.
pub fn run(arguments: &SoakArguments) -> Result<(), Error> {
    let plan = Plan::read(&arguments.plan)?;
    let programs = find_programs(arguments)?;
    let begin = Instant::now();
    let mut totals = Totals::default();
    let mut seed = arguments.seed;
    loop {
        let faults = draw(&plan, seed, &arguments.only);
        if arguments.troubles {
            faults.iter().for_each(|fault| println!("  {fault}"));
        }
        let report = play(&plan, seed, &faults, &programs)?;
        print!("{report}");
        totals.add(&report);
        if arguments.reduce && !report.breaches.is_empty() {
            return print_reduced(&plan, &report, &programs);
        }
        seed += 1;
        let time_left =
            arguments.minutes.is_some_and(|minutes| begin.elapsed() < Duration::from_secs(60 * minutes));
        if !time_left && seed >= arguments.seed + arguments.seeds {
            break;
        }
    }
    totals.print(arguments.seed, begin.elapsed());
    if totals.failed > 0 { Err(Error::ViolationFound) } else { Ok(()) }
}

/// The programs that are played, with the folder of their logs.
fn find_programs(arguments: &SoakArguments) -> Result<Programs, Error> {
    let beside = || {
        let own = std::env::current_exe().ok()?;
        Some(own.parent()?.join("damsonvale"))
    };
    let router = arguments.program.clone().or_else(beside).filter(|path| path.exists());
    let mut programs = Programs::beside(&router.ok_or(Error::ProgramNotFound)?);
    if let Some(folder) = &arguments.logs {
        std::fs::create_dir_all(folder).map_err(|source| Error::write(folder, source))?;
        programs.logs = Some(folder.clone());
    }
    if programs.library.is_none() {
        eprintln!(
            "no libfaults.so beside the router (cargo build -p faults): no clock is stepped and no call fails"
        );
    }
    Ok(programs)
}

fn play(plan: &Plan, seed: u64, faults: &[PlannedFault], programs: &Programs) -> Result<Report, Error> {
    let history = soak::play::play(plan, seed, faults, programs).map_err(Error::Soak)?;
    let breaches = oracle::check(&history);
    Ok(Report::new(seed, faults, &history, breaches))
}

/// Sums over all seeds.
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

/// Reduces a failing run and prints it as a plan.
fn print_reduced(plan: &Plan, report: &Report, programs: &Programs) -> Result<(), Error> {
    let promise = report.breaches[0].promise;
    println!("reducing {} troubles that break '{}'", report.faults.len(), promise.name());
    let still_breaks = |faults: &[PlannedFault], promise: Promise| {
        play(plan, report.seed, faults, programs)
            .is_ok_and(|report| oracle::promises(&report.breaches).contains(&promise))
    };
    let left = reduce::reduce(&report.faults, promise, still_breaks);
    println!("{}", toml::to_string(&Plan { faults: left, ..plan.clone() })?);
    Err(Error::ViolationFound)
}
