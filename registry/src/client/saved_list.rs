//! Time and revision of the list that was last written to disk.
use crate::machine::Revision;

/// Time and revision of the list that was last written to disk.
#[derive(Default)]
pub(super) struct LastSave {
    /// When the list was written, in microseconds of the client's clock.
    pub(super) at: i64,
    /// The registry revision of the list that was written.
    pub(super) revision: Revision,
}
