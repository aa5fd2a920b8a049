//! The recorded results of a load.
use crate::history::{Request, UnexpectedResponse};

/// The requests and the unexpected responses that the clients recorded.
#[derive(Default)]
pub struct LoadResult {
    /// All requests with their outcomes.
    pub requests: Vec<Request>,
    /// Responses that belong to no open request, or to a request other than the one in flight.
    pub unexpected_responses: Vec<UnexpectedResponse>,
}
