//! Every size, count and time that bounds the program, in one type that is filled at start and passed down. Sizes are
//! in bytes unless their name says otherwise.
mod backoff;
mod bounds;
mod descriptors;
mod watch;

pub use backoff::Backoff;
pub use bounds::{Limits, ProcessResources, RequestTimes};
pub use watch::WatchError;
