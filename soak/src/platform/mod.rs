//! One run of the platform's front: routers, servers, agents and clients, and the faults at their times.
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

/// Plays a plan with these faults and returns what was recorded.
///
/// # Errors
/// Where no port, folder or process can be had, or where a router does not become ready.
pub fn play(
    plan: &Plan,
    seed: u64,
    faults: &[PlannedFault],
    programs: &Programs,
) -> Result<History, RunError> {
    let mut run = Run::prepare(plan, programs)?;
    run.start_routers()?;
    run.play(seed, faults)?;
    Ok(run.finish())
}
