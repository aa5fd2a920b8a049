//! Runs a plan on the front that it names.
use crate::error::RunError;
use crate::fault::PlannedFault;
use crate::history::History;
use crate::plan::{Front, Plan};
use crate::router::Programs;
use crate::{platform, serve};

/// Runs a plan with these faults and returns the recorded history. The seed initializes the clients' random
/// numbers.
///
/// # Errors
/// A port, folder or process is not available, or a router does not become ready in time.
pub fn run_plan(
    plan: &Plan,
    seed: u64,
    faults: &[PlannedFault],
    programs: &Programs,
) -> Result<History, RunError> {
    match plan.front {
        Front::Platform => platform::run_plan(plan, seed, faults, programs),
        Front::Serve => serve::run_plan(plan, seed, faults, programs),
    }
}
