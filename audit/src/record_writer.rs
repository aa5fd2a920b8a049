//! Writes the audit record as a ring of batches in the store.
//!
//! Each batch replaces the batch `ring_slots` before it and begins with those entries of the replaced batch
//! that are still the latest of a router. So the ring is bounded, yet contains the latest entry of each live
//! router.
use crate::record::MAX_BATCH_BYTES;
use crate::{Batch, Entry, EntryKind, Settings};
use decision::Time;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Maximum number of entries of all routers that wait for a write.
const MAX_PENDING_ENTRIES: usize = 50_000;

/// Location of a router's latest written entry.
#[derive(Clone, Copy, Debug, PartialEq)]
struct LatestEntry {
    batch_seq: u64,
    since: i64,
}

/// A batch whose write has not completed.
#[derive(Clone, Debug)]
struct WriteInFlight {
    batch: Batch,
    /// Number of entries at the start of the batch that were carried over from the replaced batch.
    carried_over: usize,
}

/// The queue of entries to write, and the batches that the store contains.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecordWriter {
    ring: BTreeMap<u64, Batch>,
    latest: HashMap<String, LatestEntry>,
    next_seq: u64,
    pending: VecDeque<Entry>,
    in_flight: Option<WriteInFlight>,
    last_write: Option<Time>,
}

impl RecordWriter {
    /// Starts a leader's term from the batches in the store. Pending entries are dropped: they belong to an
    /// earlier term, and the routers report to the new leader too.
    pub(crate) fn start_term(&mut self, mut stored: Vec<Batch>, ring_slots: u64) {
        *self = RecordWriter::default();
        self.next_seq = stored.iter().map(|batch| batch.seq + 1).max().unwrap_or(0);
        stored.sort_by_key(|batch| batch.seq);
        for batch in stored {
            self.insert(batch, ring_slots);
        }
    }

    /// Adds a batch that the store contains.
    fn insert(&mut self, batch: Batch, ring_slots: u64) {
        for entry in &batch.entries {
            let candidate = LatestEntry { batch_seq: batch.seq, since: entry.since };
            let latest = self.latest.entry(entry.router.clone()).or_insert(candidate);
            if candidate.since >= latest.since {
                *latest = candidate;
            }
        }
        self.ring.insert(batch.seq % ring_slots, batch);
    }

    /// Returns the latest written entry of each router.
    pub(crate) fn latest_entries(&self) -> Vec<Entry> {
        let mut batches: Vec<&Batch> = self.ring.values().collect();
        batches.sort_by_key(|batch| batch.seq);
        let mut latest: BTreeMap<&str, &Entry> = BTreeMap::new();
        for entry in batches.iter().flat_map(|batch| &batch.entries) {
            let latest_entry = latest.entry(&entry.router).or_insert(entry);
            if entry.since >= latest_entry.since {
                *latest_entry = entry;
            }
        }
        latest.into_values().cloned().collect()
    }

    /// Queues an entry. If the limit of the router or of the whole queue is reached, the oldest entry is
    /// dropped.
    pub(crate) fn push(&mut self, entry: Entry, max_pending_per_router: usize) {
        let router_entries =
            self.pending.iter().enumerate().filter(|(_, pending)| pending.router == entry.router);
        let positions: Vec<usize> = router_entries.map(|(position, _)| position).collect();
        if entry.kind != EntryKind::Current && positions.len() >= max_pending_per_router {
            self.pending.remove(positions[0]);
        } else if self.pending.len() >= MAX_PENDING_ENTRIES {
            self.pending.pop_front();
        }
        self.pending.push_back(entry);
    }

    /// Returns the next batch, if a write is due. `is_live` tells for which routers the latest entry is
    /// carried over.
    pub(crate) fn next_batch(
        &mut self,
        now: Time,
        term: u64,
        settings: &Settings,
        is_live: impl Fn(&str) -> bool,
    ) -> Option<Batch> {
        if !self.is_due(now, settings) {
            return None;
        }
        let mut entries = self.entries_to_carry_over(settings.ring_slots, is_live);
        let carried_over = entries.len();
        self.fill_from_pending(&mut entries);
        let batch = Batch { seq: self.next_seq, term, created_at: now.0, entries };
        self.in_flight = Some(WriteInFlight { batch: batch.clone(), carried_over });
        self.last_write = Some(now);
        Some(batch)
    }

    fn is_due(&self, now: Time, settings: &Settings) -> bool {
        let interval =
            if self.pending.is_empty() { settings.heartbeat_interval } else { settings.min_write_interval };
        let elapsed = self.last_write.is_none_or(|last| now.0.saturating_sub(last.0) >= interval);
        self.in_flight.is_none() && elapsed
    }

    fn entries_to_carry_over(&self, ring_slots: u64, is_live: impl Fn(&str) -> bool) -> Vec<Entry> {
        let Some(replaced) = self.ring.get(&(self.next_seq % ring_slots)) else { return Vec::new() };
        let is_latest = |entry: &Entry| {
            self.latest.get(&entry.router)
                == Some(&LatestEntry { batch_seq: replaced.seq, since: entry.since })
        };
        let carried_over = replaced.entries.iter().filter(|entry| is_latest(entry) && is_live(&entry.router));
        carried_over.cloned().collect()
    }

    fn fill_from_pending(&mut self, entries: &mut Vec<Entry>) {
        let mut size: usize = entries.iter().map(Entry::max_bytes).sum();
        while let Some(entry) = self.pending.front() {
            size += entry.max_bytes();
            if size > MAX_BATCH_BYTES {
                break;
            }
            entries.extend(self.pending.pop_front());
        }
    }

    /// Handles the completion of a write. A batch that is not known to be committed is written again.
    pub(crate) fn write_completed(&mut self, seq: u64, committed: bool, ring_slots: u64) {
        let Some(write) = self.in_flight.take_if(|write| write.batch.seq == seq) else { return };
        if committed {
            self.commit(write.batch, ring_slots);
        } else {
            self.requeue(write);
        }
    }

    fn commit(&mut self, batch: Batch, ring_slots: u64) {
        self.next_seq = batch.seq + 1;
        if let Some(replaced) = self.ring.get(&(batch.seq % ring_slots)) {
            // Routers whose latest entry was in the replaced batch and was not carried over have no entry any
            // more.
            let replaced_seq = replaced.seq;
            let router_names: Vec<&str> = batch.entries.iter().map(|entry| entry.router.as_str()).collect();
            self.latest.retain(|router, latest| {
                latest.batch_seq != replaced_seq || router_names.contains(&router.as_str())
            });
        }
        self.insert(batch, ring_slots);
    }

    fn requeue(&mut self, write: WriteInFlight) {
        for entry in write.batch.entries.into_iter().skip(write.carried_over).rev() {
            self.pending.push_front(entry);
        }
    }
}
