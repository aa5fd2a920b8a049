//! `processes`: hundreds of real routers on this machine, by a plan.
use crate::error::Error;
use clap::Args;
use multiprocess::{check::Bounds, plan, run};
use std::path::PathBuf;

/// `processes`' arguments.
#[derive(Args)]
pub struct Processes {
    /// The plan, TOML.
    plan: PathBuf,
    /// The router's program; the one beside this program where it is left out.
    #[arg(long)]
    program: Option<PathBuf>,
    /// So many routers instead of the plan's.
    #[arg(long)]
    routers: Option<usize>,
    /// Another seed than the plan's.
    #[arg(long)]
    seed: Option<u64>,
}

/// Plays a plan and prints its figures.
///
/// # Errors
/// The plan can't be read or played, or the checker found a violation.
pub fn run(asked: &Processes) -> Result<(), Error> {
    let path = &asked.plan;
    let faulty = |source| Error::ProcessPlan { path: path.clone(), source };
    let text = std::fs::read_to_string(path).map_err(|source| Error::Read { path: path.clone(), source })?;
    let mut plan = plan::read(&text).map_err(faulty)?;
    plan.routers = asked.routers.unwrap_or(plan.routers);
    plan.seed = asked.seed.unwrap_or(plan.seed);
    plan.check().map_err(faulty)?;
    let beside = || std::env::current_exe().ok().map(|own| own.with_file_name("damsonvale"));
    let program = asked.program.clone().or_else(beside).filter(|p| p.is_file());
    let program = program.ok_or(Error::ProgramNotFound)?;
    let report = run::run(&program, &plan, &Bounds::default()).map_err(Error::ProcessRun)?;
    print!("{report}");
    if report.good() { Ok(()) } else { Err(Error::ViolationFound) }
}
