//! The `processes` command: hundreds of real routers on this machine, as a plan says.
use crate::error::Error;
use clap::Args;
use multiprocess::check::CheckSettings;
use multiprocess::plan::{self, Plan};
use multiprocess::run;
use std::path::PathBuf;

/// Name of the router's program, which is built beside this one.
const ROUTER_PROGRAM: &str = "damsonvale";

/// The arguments of `processes`.
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

impl Processes {
    /// Reads the plan, with the arguments' values in place of its own.
    fn read_plan(&self) -> Result<Plan, Error> {
        let path = &self.plan;
        let invalid = |source| Error::ProcessPlan { path: path.clone(), source };
        let text =
            std::fs::read_to_string(path).map_err(|source| Error::Read { path: path.clone(), source })?;
        let mut plan = plan::read(&text).map_err(invalid)?;
        plan.routers = self.routers.unwrap_or(plan.routers);
        plan.seed = self.seed.unwrap_or(plan.seed);
        plan.check().map_err(invalid)?;
        Ok(plan)
    }

    /// The router's program: the one that is named, else the one beside this program.
    fn router_program(&self) -> Result<PathBuf, Error> {
        let beside = || std::env::current_exe().ok().map(|own| own.with_file_name(ROUTER_PROGRAM));
        let program = self.program.clone().or_else(beside).filter(|path| path.is_file());
        program.ok_or(Error::ProgramNotFound)
    }
}

/// Plays a plan and prints its figures.
///
/// # Errors
/// The plan can't be played, or the checker has found a broken guarantee.
pub fn run(arguments: &Processes) -> Result<(), Error> {
    let plan = arguments.read_plan()?;
    let program = arguments.router_program()?;
    let report = run::run(&program, &plan, &CheckSettings::default()).map_err(Error::ProcessRun)?;
    print!("{report}");
    if report.is_good() { Ok(()) } else { Err(Error::ViolationFound) }
}
