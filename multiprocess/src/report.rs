//! The report of a run: outcomes of requests, resource usage of processes, and the checker's verdict.
//! `Display` formats it as text tables.
mod data;
mod outcomes;
mod text;

pub use data::{Report, ResourceFigures, UnexpectedExit};
pub use outcomes::{OutcomeCounts, TenantOutcomes};
