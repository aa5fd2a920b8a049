//! Processes of the program under test: started, signalled and ended by their id.
mod child;
mod command;
mod error;
mod log_buffer;
mod resource_usage;

pub use child::Child;
pub use command::run_to_end;
pub use error::ProcessError;
pub use resource_usage::ResourceUsage;
