//! All size limits, count limits and timeouts of the program, in one type that is built at startup and passed
//! to the components. Sizes are in bytes unless their name says otherwise.
mod backoff;
mod bounds;
mod descriptors;
mod watch;

pub use backoff::Backoff;
pub use bounds::{Limits, ProcessResources, RequestTimes};
pub use watch::WatchError;
