//! How far this router has read another member's list.

/// How far this router has read another's list.
#[derive(Default)]
pub(super) struct ListProgress {
    /// The id of the page request that is not answered yet.
    pub(super) pending_request: Option<u64>,
    /// The last name that was read; the next page begins past it.
    pub(super) cursor: Option<String>,
    /// Pages are requested one after the other until the end of the list.
    pub(super) reading_full_list: bool,
}
