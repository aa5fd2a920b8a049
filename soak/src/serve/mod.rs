//! Runs a plan on the front `serve`. The routers store sessions on disk, replicate them to their peers, and
//! form one fleet by membership; three of them are nodes of a replicated store. The simulated servers are
//! behind proxies.
mod faults;
mod load;
mod router;
mod run;
pub mod settings;
mod store;

use crate::error::RunError;
use crate::fault::PlannedFault;
use crate::history::History;
use crate::plan::Plan;
use crate::router::Programs;
use run::Run;

/// Runs a plan with these faults and returns the history that was recorded.
///
/// # Errors
/// No port, folder or process is available, or a router does not become ready.
pub fn run_plan(
    plan: &Plan,
    seed: u64,
    faults: &[PlannedFault],
    programs: &Programs,
) -> Result<History, RunError> {
    let mut run = Run::prepare(plan, programs)?;
    run.start_routers()?;
    run.run_load(seed, faults)?;
    Ok(run.finish()?)
}
