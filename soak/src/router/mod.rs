//! Router processes and what a run knows of each.
mod addresses;
mod instance;
mod process;

pub use addresses::{AddressBlock, free_addresses};
pub use instance::RouterInstance;
pub use process::{Process, Programs};
