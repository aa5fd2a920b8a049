//! Starts processes of the program under test, signals them by process id and ends them.
mod child;
mod command;
mod error;
mod log_buffer;
mod resource_usage;

pub use child::Child;
pub use command::run_command;
pub use error::ProcessError;
pub use resource_usage::ResourceUsage;
