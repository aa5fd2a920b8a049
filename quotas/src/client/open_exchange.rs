//! An exchange with the leader that has begun.
use decision::Time;

/// An exchange whose response is still expected.
#[derive(Clone, Copy, Debug, Hash)]
pub(super) struct OpenExchange {
    pub(super) seq: u64,
    /// When the report was made: the lifetime of what is granted in it counts from here.
    pub(super) started: Time,
}
