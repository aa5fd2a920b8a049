//! How a member misbehaves.
use std::time::Duration;

/// How a member misbehaves; by default it does not.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Connections are closed at once.
    pub down: bool,
    /// Nothing is answered, and connections stay open.
    pub unresponsive: bool,
    /// Watches get no events; reads are answered.
    pub stalled_watches: bool,
    /// Reads report this revision, as a member does that lags.
    pub stale_at_revision: Option<u64>,
    /// The member reports this cluster id instead of the common one.
    pub cluster_id: Option<u64>,
    /// The next watch event is cut in the middle, and its connection closed.
    pub truncate_next_event: bool,
    /// Each change is sent twice.
    pub duplicated_events: bool,
    /// Changes that are sent together have the wrong order.
    pub reversed_events: bool,
    /// The member knows no leader: reads are rejected, and watches get no events.
    pub leaderless: bool,
    /// Each answer is delayed by this.
    pub response_delay: Duration,
    /// The history is compacted behind the first page of the next read.
    pub compact_after_first_page: bool,
}
