//! Events that the tracker handles, and actions for its driver.
use crate::exchange::{Directive, VersionReport};
use crate::record::{Batch, Entry};
use settings::fleet::Version;

/// An input of the tracker.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// This node has become leader.
    LeadershipGained {
        /// Term in which the node leads.
        term: u64,
        /// The batches in the store.
        batches: Vec<Batch>,
    },
    /// The current configuration version was read. A version that is not later than the last one changes
    /// nothing.
    CurrentVersion {
        /// The current configuration version, as read.
        version: Version,
    },
    /// A router has reported.
    ReportReceived {
        /// Name of the router.
        router: String,
        /// Incarnation of the router's process.
        incarnation: u64,
        /// Configuration version that the router holds.
        version: Version,
        /// The rest of the router's report.
        report: VersionReport,
        /// Whether this is the last report before a graceful shutdown of the router.
        leaving: bool,
    },
    /// A write of a batch has completed.
    WriteCompleted {
        /// Sequence number of the batch.
        seq: u64,
        /// Whether the batch is known to be committed.
        committed: bool,
    },
    /// Checks for silent routers and writes that are due.
    Tick,
}

/// An instruction to the driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Include this directive in the response to the report; there is one for each [`Event::ReportReceived`].
    /// Grants of a router that is fenced out must not be renewed.
    Respond {
        /// Name of the router.
        router: String,
        /// The directive for the router.
        directive: Directive,
    },
    /// Log this entry, which is also queued for the audit record.
    LogEntry(Entry),
    /// Write this batch into its slot of the store, then report the result with [`Event::WriteCompleted`].
    WriteBatch(Batch),
}
