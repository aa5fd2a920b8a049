//! The plan of a run: a TOML document that is validated completely before any process is started.
mod document;
mod error;
mod fault;
mod load;
mod validate;

pub use document::{Group, MAX_ROUTERS, Placement, Plan, READ_CLASS, Tenant, WRITE_CLASS};
pub use error::PlanError;
pub use fault::{Fault, FaultKind, LinkDirection};
pub use load::{Load, RouterSet, Targets};

/// Parses a plan and validates it.
///
/// # Errors
/// Returns a [`PlanError`] that names the invalid key.
pub fn read(text: &str) -> Result<Plan, PlanError> {
    let plan: Plan = toml::from_str(text)?;
    plan.check()?;
    Ok(plan)
}
