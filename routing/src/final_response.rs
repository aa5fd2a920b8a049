//! The one final response of a request.
use decision::{Outcome, Time};
use placement::PlacementError;
use std::time::Duration;

/// The one final response of a request.
#[derive(Debug)]
pub enum FinalResponse<R> {
    /// What an endpoint responded; of a write also when it was committed, if that is known.
    Served(R, Option<Time>),
    /// Not served, and it may safely be retried, after this time if one is given.
    Rejected(Option<Duration>),
    /// Not served, and it may have run; how its last attempt ended, if it had any.
    Failed(Option<Outcome>),
    /// Not served: its tenant's data may not be where the request would have to go. Nothing ran.
    PlacementDenied(PlacementError),
    /// Cancelled by its client; what had started by then may have run.
    Cancelled,
}
