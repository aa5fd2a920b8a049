//! Progress of reading another member's list.

/// Progress of reading another member's list.
#[derive(Default)]
pub(super) struct ListProgress {
    /// The id of the page request without a response so far.
    pub(super) pending_request: Option<u64>,
    /// The last name that was read; the next page begins after it.
    pub(super) cursor: Option<String>,
    /// Whether pages are requested without pause until the end of the list.
    pub(super) reading_full_list: bool,
}
