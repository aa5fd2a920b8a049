//! The one final response that each request gets.
use decision::{Outcome, Time};
use placement::PlacementError;
use std::time::Duration;

/// The one final response that each request gets.
#[derive(Debug)]
pub enum FinalResponse<R> {
    /// The response of an endpoint, and for a write the commit time, if known.
    Served(R, Option<Time>),
    /// The request was not served, and the client may safely retry it, after this time if one is given.
    Rejected(Option<Duration>),
    /// The request was not served but may have run. Contains the outcome of the last attempt, if there was
    /// one.
    Failed(Option<Outcome>),
    /// The request was not served because the tenant's placement rules allow no endpoint that could serve it.
    /// Nothing has run.
    PlacementDenied(PlacementError),
    /// The client cancelled the request. Attempts that had already started may have run.
    Cancelled,
}
