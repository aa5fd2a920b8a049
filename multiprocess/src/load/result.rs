//! What a load has recorded.
use crate::history::{Request, UnexpectedAnswer};

/// What a load has recorded.
#[derive(Default)]
pub struct LoadResult {
    /// Each request, ended.
    pub requests: Vec<Request>,
    /// Answers that no request waited for, or that were another request's.
    pub unexpected_answers: Vec<UnexpectedAnswer>,
}
