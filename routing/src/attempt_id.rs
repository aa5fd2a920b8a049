//! Identifier of an attempt.
use decision::RequestId;

/// Identifies one attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// ID of the request.
    pub request: RequestId,
    /// Number of the attempt within its request, counted from 0.
    pub number: u32,
}
