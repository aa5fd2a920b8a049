//! The one final response of a request.
use decision::{Outcome, Time};
use placement::PlacementError;
use std::time::Duration;

/// The one final response of a request.
#[derive(Debug)]
pub enum FinalResponse<R> {
    /// An endpoint's response; for a write also the time of its commit, if known.
    Served(R, Option<Time>),
    /// Not served, and its client may safely retry it, after this time if one is given.
    Rejected(Option<Duration>),
    /// Not served, and it may have run; the outcome of its last attempt, if it had one.
    Failed(Option<Outcome>),
    /// Not served: its tenant's placement rules allow no endpoint that could serve it. Nothing ran.
    PlacementDenied(PlacementError),
    /// Cancelled by its client; what had started by then may have run.
    Cancelled,
}
