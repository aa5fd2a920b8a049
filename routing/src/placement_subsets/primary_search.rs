//! The record of searches for a group's primary.
use decision::Time;
use std::sync::Arc;

/// The searches for a group's primary since the known primary last changed.
#[derive(Default)]
pub(super) struct PrimarySearch {
    pub(super) last_at: Option<Time>,
    pub(super) count: u32,
    /// The group's known primary at the time of these searches.
    pub(super) primary: Option<Arc<str>>,
}
