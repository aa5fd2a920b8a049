//! Stored form of the audit record: entries in batches, as JSON under `fleet/audit/`. The `serde` attributes
//! fix the field and variant names of the stored form independently of the names in the code.
use serde::{Deserialize, Serialize};
use settings::fleet::Version;

/// Maximum size of a batch in bytes, by an estimate that is above the entries' size as JSON.
pub const MAX_BATCH_BYTES: usize = 40 << 10;
/// Number of batches retained in the store: at most 2.5 MiB in total.
pub const RING_SLOTS: u64 = 64;
/// Maximum size of an entry as JSON without the router's name: the keys, and numbers of up to 20 digits.
const MAX_ENTRY_BYTES: usize = 200;

/// State of a router from the time of the entry on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EntryKind {
    /// The router routes requests under the version.
    Acting,
    /// The router still routes requests under the version and was notified to fetch a later one.
    #[serde(rename = "told")]
    Notified,
    /// The leader has fenced out the router, which holds the version.
    #[serde(rename = "shutout")]
    FencedOut,
    /// The router has not reported since the entry's time and has fenced itself when its lease expired, or
    /// it reports that it was fenced from that time on.
    Silent,
    /// The router has shut down gracefully.
    Left,
    /// Not about a router: the version became the current one.
    Current,
}

impl EntryKind {
    /// Name of the kind in the stored record and in the tables that operators see.
    pub const fn as_str(self) -> &'static str {
        match self {
            EntryKind::Acting => "acting",
            EntryKind::Notified => "told",
            EntryKind::FencedOut => "shutout",
            EntryKind::Silent => "silent",
            EntryKind::Left => "left",
            EntryKind::Current => "current",
        }
    }
}

/// One entry of the audit record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Name of the router; empty for [`EntryKind::Current`].
    pub router: String,
    /// Incarnation of the router's process: increases with each start of a router of this name.
    #[serde(rename = "start")]
    pub incarnation: u64,
    /// Version that the router holds.
    pub version: Version,
    /// Version of the router's member list.
    #[serde(rename = "members")]
    pub members_version: u64,
    /// Start of the state, as Unix time in microseconds on the leader's clock, with the age that the router
    /// reported subtracted.
    #[serde(rename = "from")]
    pub since: i64,
    /// The router's state from that time on.
    pub kind: EntryKind,
    /// Latest epoch of the router that the leader knew when it made the entry.
    pub epoch: u64,
    /// Term of the leader. Times of different terms come from different clocks.
    pub term: u64,
}

impl Entry {
    /// Maximum size of the entry as JSON, in bytes.
    pub(crate) fn max_bytes(&self) -> usize {
        MAX_ENTRY_BYTES + self.router.len()
    }
}

/// Entries that are written to the store in one write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Sequence number of the batch.
    pub seq: u64,
    /// Term of the leader that wrote the batch.
    pub term: u64,
    /// When the batch was created, Unix time in microseconds on the leader's clock.
    #[serde(rename = "at")]
    pub created_at: i64,
    /// Entries carried over from the replaced batch, then the new ones.
    pub entries: Vec<Entry>,
}

/// The store's key for a slot of the ring of batches.
pub fn slot_key(slot: u64) -> String {
    format!("fleet/audit/{slot:04}")
}
