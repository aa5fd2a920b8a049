//! A router's report while it is handled.
use crate::exchange::VersionReport;
use settings::fleet::Version;

/// A router's report while it is handled.
pub(super) struct ReceivedReport {
    pub(super) incarnation: u64,
    pub(super) version: Version,
    pub(super) details: VersionReport,
    pub(super) leaving: bool,
}
