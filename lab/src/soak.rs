//! `soak`: real routers under overlapping troubles, for many seeds.
use crate::error::Error;
use clap::Args;
use soak::draw::draw;
use soak::fault::{FaultKind, PlannedFault};
use soak::oracle::{self, Promise};
use soak::plan::{Front, Plan};
use soak::report::Report;
use soak::router::Programs;
use soak::{platform, reduce, serve};
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// What is asked for.
#[derive(Args)]
pub(crate) struct Soak {
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

fn play(plan: &Plan, seed: u64, troubles: &[PlannedFault], programs: &Programs) -> Result<Report, Error> {
    let history = match plan.front {
        Front::Platform => platform::play(plan, seed, troubles, programs),
        Front::Serve => serve::play(plan, seed, troubles, programs),
    };
    let history = history.map_err(Error::Soak)?;
    let breaches = oracle::check(&history);
    Ok(Report::new(seed, troubles, &history, breaches))
}

pub(crate) fn run(asked: &Soak) -> Result<(), Error> {
    let plan = Plan::read(&asked.plan)?;
    let beside = || {
        let own = std::env::current_exe().ok()?;
        Some(own.parent()?.join("damsonvale"))
    };
    let program = asked.program.clone().or_else(beside).filter(|path| path.exists());
    let mut programs = Programs::beside(&program.ok_or(Error::NoProgram)?);
    if let Some(folder) = &asked.logs {
        std::fs::create_dir_all(folder).map_err(|e| Error::write(folder, e))?;
        programs.logs = Some(folder.clone());
    }
    if programs.library.is_none() {
        eprintln!(
            "no libfaults.so beside the router (cargo build -p faults): no clock is stepped and no call fails"
        );
    }
    let (begun, mut failed, mut total) = (Instant::now(), 0, Totals::default());
    let mut seed = asked.seed;
    loop {
        let troubles = draw(&plan, seed, &asked.only);
        if asked.troubles {
            troubles.iter().for_each(|fault| println!("  {fault}"));
        }
        let report = play(&plan, seed, &troubles, &programs)?;
        print!("{report}");
        total.add(&report);
        failed += u64::from(!report.breaches.is_empty());
        if asked.reduce && !report.breaches.is_empty() {
            return print_reduced(&plan, &report, &programs);
        }
        seed += 1;
        let minutes_left =
            asked.minutes.is_some_and(|minutes| begun.elapsed() < Duration::from_secs(60 * minutes));
        if !minutes_left && seed >= asked.seed + asked.seeds {
            break;
        }
    }
    let minutes = begun.elapsed().as_secs_f64() / 60.0;
    println!(
        "{} seeds from {} on, {} processes, {} requests, {minutes:.1} minutes, {failed} seeds with breaches",
        total.seeds, asked.seed, total.processes, total.requests
    );
    if failed > 0 { Err(Error::Found) } else { Ok(()) }
}

#[derive(Default)]
struct Totals {
    seeds: u64,
    processes: usize,
    requests: usize,
}

impl Totals {
    fn add(&mut self, report: &Report) {
        self.seeds += 1;
        self.processes += report.processes;
        self.requests += report.requests();
    }
}

/// Reduces a failing run and prints it as a plan.
fn print_reduced(plan: &Plan, report: &Report, programs: &Programs) -> Result<(), Error> {
    let promise = report.breaches[0].promise;
    println!("reducing {} troubles that break '{}'", report.faults.len(), promise.name());
    let still_breaks = |troubles: &[PlannedFault], promise: Promise| {
        play(plan, report.seed, troubles, programs)
            .is_ok_and(|report| oracle::promises(&report.breaches).contains(&promise))
    };
    let left = reduce::reduce(&report.faults, promise, still_breaks);
    println!("{}", toml::to_string(&Plan { faults: left, ..plan.clone() })?);
    Err(Error::Found)
}
