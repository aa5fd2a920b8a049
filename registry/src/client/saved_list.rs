//! Which list was last written to disk.
use crate::machine::Revision;

/// The list as it was last written to disk.
#[derive(Default)]
pub(super) struct SavedList {
    /// When, in microseconds of the clock.
    pub(super) at: i64,
    /// The revision it had.
    pub(super) revision: Revision,
}
