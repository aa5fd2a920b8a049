//! One run of a plan, whichever front it names.
use crate::error::RunError;
use crate::fault::PlannedFault;
use crate::history::History;
use crate::plan::{Front, Plan};
use crate::router::Programs;
use crate::{platform, serve};

/// Plays a plan with these faults and returns what was recorded. The seed is that of the clients' random numbers.
///
/// # Errors
/// Where no port, folder or process can be had, or where a router does not become ready.
pub fn play(
    plan: &Plan,
    seed: u64,
    faults: &[PlannedFault],
    programs: &Programs,
) -> Result<History, RunError> {
    match plan.front {
        Front::Platform => platform::play(plan, seed, faults, programs),
        Front::Serve => serve::play(plan, seed, faults, programs),
    }
}
