//! What the tracker handles, and what its driver must do.
use crate::exchange::{Directive, VersionReport};
use crate::record::{Batch, Entry};
use settings::fleet::Version;

/// Input of the tracker.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// This node has become leader.
    LeadershipGained {
        /// Its term.
        term: u64,
        /// The batches in the store.
        batches: Vec<Batch>,
    },
    /// The current version. A version that is not later than the last one changes nothing.
    CurrentVersion {
        /// The version.
        version: Version,
    },
    /// A router has reported.
    ReportReceived {
        /// Name of the router.
        router: String,
        /// Incarnation of its process.
        incarnation: u64,
        /// Version that it holds.
        version: Version,
        /// The rest of its report.
        report: VersionReport,
        /// Whether it shuts down gracefully and this is its last report.
        leaving: bool,
    },
    /// A write of a batch has completed.
    WriteCompleted {
        /// Sequence number of the batch.
        seq: u64,
        /// Whether it is known to be committed.
        committed: bool,
    },
    /// Time has passed.
    Tick,
}

/// What the driver must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send this with the answer to the report; one for each [`Event::ReportReceived`]. Grants of a router that is fenced
    /// out must not be renewed.
    Reply {
        /// Name of the router.
        router: String,
        /// The directive for it.
        directive: Directive,
    },
    /// Log this entry, which the record gets too.
    LogEntry(Entry),
    /// Write this batch into its slot of the store, and answer with [`Event::WriteCompleted`].
    WriteBatch(Batch),
}
