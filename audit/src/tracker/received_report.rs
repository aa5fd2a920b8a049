//! The tracker's internal form of a router's report.
use crate::exchange::VersionReport;
use settings::fleet::Version;

/// A router's report as the tracker received it.
pub(super) struct ReceivedReport {
    pub(super) incarnation: u64,
    pub(super) version: Version,
    pub(super) details: VersionReport,
    pub(super) leaving: bool,
}
