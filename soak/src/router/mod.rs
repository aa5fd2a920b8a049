//! Router processes, their listen addresses and their state in a run.
mod addresses;
mod instance;
mod process;

pub use addresses::{AddressBlock, free_addresses};
pub use instance::RouterInstance;
pub use process::{Process, Programs};
