//! The id of an attempt.
use decision::RequestId;

/// One attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt among those of its request, from 0.
    pub number: u32,
}
