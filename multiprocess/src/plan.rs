//! The plan of a run: a TOML document, checked as a whole before anything is started.
mod document;
mod error;
mod fault;
mod load;
mod validate;

pub use document::{Group, MAX_ROUTERS, Placement, Plan, READ_CLASS, Tenant, WRITE_CLASS};
pub use error::PlanError;
pub use fault::{Fault, FaultKind, LinkDirection};
pub use load::{Load, RouterSet, Targets};

/// Reads a plan and checks it.
///
/// # Errors
/// A [`PlanError`] that names the key.
pub fn read(text: &str) -> Result<Plan, PlanError> {
    let plan: Plan = toml::from_str(text)?;
    plan.check()?;
    Ok(plan)
}
