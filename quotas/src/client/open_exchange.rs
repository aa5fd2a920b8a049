//! An exchange with the leader that is waiting for its response.
use decision::Time;

/// An exchange that is waiting for its response.
#[derive(Clone, Copy, Debug, Hash)]
pub(super) struct OpenExchange {
    pub(super) seq: u64,
    /// When the report was created. The lifetime of what is granted in the exchange counts from here.
    pub(super) started: Time,
}
