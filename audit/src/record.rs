//! Stored form of the record: entries in batches, as JSON under `fleet/audit/`. Field and variant names of the stored
//! form are fixed by the `serde` attributes, whatever the code calls them.
use serde::{Deserialize, Serialize};
use settings::fleet::Version;

/// Upper bound of a batch's size in bytes, by an estimate that is above the entries' size as JSON.
pub const MAX_BATCH_BYTES: usize = 40 << 10;
/// Batches that the store keeps: 2.5 MiB together.
pub const RING_SLOTS: u64 = 64;
/// Upper bound of an entry's size as JSON without the router's name: seven keys, and numbers of 20 digits.
const MAX_ENTRY_BYTES: usize = 200;

/// What an entry says of its router from its time on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EntryKind {
    /// The router serves by the version.
    Acting,
    /// The router still serves by the version and was notified to fetch a later one.
    #[serde(rename = "told")]
    Notified,
    /// The router is fenced out and holds the version.
    #[serde(rename = "shutout")]
    FencedOut,
    /// The router has not reported since and has fenced itself within a lease's time, or reports that it was fenced
    /// since.
    Silent,
    /// The router has shut down gracefully.
    Left,
    /// An entry of no router: the version is the current one from then on.
    Current,
}

impl EntryKind {
    /// The word that the record and the operators' tables use.
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

/// One entry of the record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Name of the router; empty for [`EntryKind::Current`].
    pub router: String,
    /// Incarnation of the router's process: rises with each start of the same name.
    #[serde(rename = "start")]
    pub incarnation: u64,
    /// Version that the router holds.
    pub version: Version,
    /// Version of the router's member list.
    #[serde(rename = "members")]
    pub members_version: u64,
    /// Since when, Unix time in microseconds on the leader's clock, with the age that the router reported subtracted.
    #[serde(rename = "from")]
    pub since: i64,
    /// What the router does from that time on.
    pub kind: EntryKind,
    /// The router's epoch.
    pub epoch: u64,
    /// Term of the leader: times of different terms are of different clocks.
    pub term: u64,
}

impl Entry {
    /// Upper bound of the entry's size as JSON, in bytes.
    pub(crate) fn max_bytes(&self) -> usize {
        MAX_ENTRY_BYTES + self.router.len()
    }
}

/// The entries that one write puts into the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Sequence number of the batch.
    pub seq: u64,
    /// Term of the leader that wrote it.
    pub term: u64,
    /// When it was created, Unix time in microseconds on the leader's clock.
    #[serde(rename = "at")]
    pub created_at: i64,
    /// Entries carried over from the replaced batch, then the new ones.
    pub entries: Vec<Entry>,
}

/// The store's key of a slot of the ring.
pub fn slot_key(slot: u64) -> String {
    format!("fleet/audit/{slot:04}")
}
