//! `processes`: runs hundreds of router processes on this machine according to a plan.
use crate::error::Error;
use clap::Args;
use multiprocess::check::CheckSettings;
use multiprocess::plan::{self, Plan};
use multiprocess::run;
use std::path::PathBuf;

/// Name of the router program, which is built into the same folder as this program.
const ROUTER_PROGRAM: &str = "damsonvale";

/// Arguments of `processes`.
#[derive(Args)]
pub struct ProcessesArguments {
    /// Plan of the run (TOML file)
    plan: PathBuf,
    /// Path of the router program; defaults to `damsonvale` next to this program
    #[arg(long)]
    program: Option<PathBuf>,
    /// Number of routers; overrides the plan
    #[arg(long)]
    routers: Option<usize>,
    /// Random seed; overrides the plan
    #[arg(long)]
    seed: Option<u64>,
}

impl ProcessesArguments {
    /// Reads the plan and overrides its values with those of the arguments.
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

    /// Returns the path of the router program: the given path, or the path of the router next to this
    /// program.
    fn router_program(&self) -> Result<PathBuf, Error> {
        let default_path =
            || std::env::current_exe().ok().map(|current_exe| current_exe.with_file_name(ROUTER_PROGRAM));
        let program = self.program.clone().or_else(default_path).filter(|path| path.is_file());
        program.ok_or(Error::ProgramNotFound)
    }
}

/// Runs a plan and prints its report.
///
/// # Errors
/// Returns an error if the run could not be completed or the checker found a violation.
pub fn run(arguments: &ProcessesArguments) -> Result<(), Error> {
    let plan = arguments.read_plan()?;
    let program = arguments.router_program()?;
    let report = run::run(&program, &plan, &CheckSettings::default()).map_err(Error::ProcessRun)?;
    print!("{report}");
    if report.is_good() { Ok(()) } else { Err(Error::ViolationFound) }
}
