//! What a run showed: how requests ended, what processes cost, and the checker's verdict. Printed, it is a text of
//! tables.
mod data;
mod outcomes;
mod text;

pub use data::{Report, ResourceFigures, UnexpectedExit};
pub use outcomes::{OutcomeCounts, TenantOutcomes};
