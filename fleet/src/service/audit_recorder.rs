//! Writes the audit's batches into the store, on a thread of its own: no answer to a router waits for a disk.
use crate::audit_record::parse_batch;
use audit::{Batch, slot_key};
use crossbeam_channel::{Receiver, Sender, bounded};
use std::io;
use store::state::Update;
use store::{Rejection, Store, Value};

const STACK_BYTES: usize = 512 << 10;
/// Results that wait to be read. One batch is written at a time, so there are never as many.
const MAX_PENDING_RESULTS: usize = 4;

/// How the write of a batch ended.
pub(super) struct WriteResult {
    pub(super) seq: u64,
    /// Whether the batch is known to be in the store.
    pub(super) is_written: bool,
}

/// Writes one batch at a time.
pub(super) struct Recorder {
    batches: Sender<Batch>,
    results: Receiver<WriteResult>,
}

impl Recorder {
    pub(super) fn start(store: Store) -> io::Result<Recorder> {
        let (batch_sender, batches) = bounded(1);
        let (result_sender, results) = bounded(MAX_PENDING_RESULTS);
        let run = move || write_batches(&store, &batches, &result_sender);
        routing::spawn_needed("fleet-audit", STACK_BYTES, run)?;
        Ok(Recorder { batches: batch_sender, results })
    }

    /// Starts to write a batch; a [`WriteResult`] will follow. Returns false where batches of earlier terms are still
    /// being written.
    pub(super) fn try_write(&self, batch: Batch) -> bool {
        self.batches.try_send(batch).is_ok()
    }

    /// The next write that has ended, if one has.
    pub(super) fn next_result(&self) -> Option<WriteResult> {
        self.results.try_recv().ok()
    }
}

/// Until the recorder is dropped.
fn write_batches(store: &Store, batches: &Receiver<Batch>, results: &Sender<WriteResult>) {
    for batch in batches {
        let seq = batch.seq;
        let is_written = write_batch(store, &batch).unwrap_or_else(|error| {
            tracing::warn!(seq, %error, "audit batch not written, will retry");
            false
        });
        if results.send(WriteResult { seq, is_written }).is_err() {
            return;
        }
    }
}

/// Writes a batch into its slot. Returns false where a later term has written there.
fn write_batch(store: &Store, batch: &Batch) -> Result<bool, Rejection> {
    let Ok(text) = serde_json::to_string(batch) else { return Ok(false) };
    let key = slot_key(batch.seq % audit::RING_SLOTS);
    let state = store.state();
    let stored = state.get(&key);
    // A leader that was replaced must not overwrite what the next one has written.
    if stored.is_some_and(|value| is_of_later_term(value, batch.term)) {
        return Ok(false);
    }
    let expected = Some(stored.map_or(0, |value| value.version));
    store.update(Update { key, text: Some(text), expected_version: expected }).map(|_| true)
}

fn is_of_later_term(stored: &Value, term: u64) -> bool {
    parse_batch(&stored.text).is_ok_and(|batch| batch.term > term)
}
