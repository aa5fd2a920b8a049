//! Runs a plan on the platform front: starts routers, servers, discovery agents and clients, and injects the
//! faults on schedule.
mod faults;
mod maintenance;
mod probe;
mod router;
mod run;
mod schedule;
pub mod settings;

use crate::error::RunError;
use crate::fault::PlannedFault;
use crate::history::History;
use crate::plan::Plan;
use crate::router::Programs;
use run::Run;

/// Runs a plan with these faults and returns the recorded history.
///
/// # Errors
/// A port, folder or process is not available, or a router does not become ready in time.
pub fn run_plan(
    plan: &Plan,
    seed: u64,
    faults: &[PlannedFault],
    programs: &Programs,
) -> Result<History, RunError> {
    let mut run = Run::prepare(plan, programs)?;
    run.start_routers()?;
    run.run_load(seed, faults)?;
    Ok(run.finish())
}
