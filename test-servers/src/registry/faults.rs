//! The faults of a registry member.
use std::time::Duration;

/// The faults that a member simulates; none by default.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Connections are closed as soon as they are opened.
    pub down: bool,
    /// The member sends no responses, but connections stay open.
    pub unresponsive: bool,
    /// Watches get no events, but reads work.
    pub stalled_watches: bool,
    /// Revision that reads report, to simulate a member that lags behind.
    pub stale_at_revision: Option<u64>,
    /// Cluster id that the member reports instead of the id that all members share.
    pub cluster_id: Option<u64>,
    /// The next watch event is cut off halfway, and its connection is closed.
    pub truncate_next_event: bool,
    /// Watches get each change twice.
    pub duplicated_events: bool,
    /// Watches get the changes of one message in reverse order.
    pub reversed_events: bool,
    /// The member has no leader: reads are rejected, and watches get no events.
    pub leaderless: bool,
    /// Delay before each response.
    pub response_delay: Duration,
    /// The history is compacted after the first page of the next paged read.
    pub compact_after_first_page: bool,
}
