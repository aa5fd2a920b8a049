//! Records the searches for a group's primary.
use decision::Time;
use std::sync::Arc;

/// Searches for a group's primary since the known primary last changed.
#[derive(Default)]
pub(super) struct PrimarySearch {
    pub(super) last_at: Option<Time>,
    pub(super) count: u32,
    /// Known primary of the group when these searches were made.
    pub(super) primary: Option<Arc<str>>,
}
