//! Writes the audit's batches to the store on a separate thread, so that responses to routers do not wait for
//! disk writes.
use crate::audit_record::parse_batch;
use audit::{Batch, slot_key};
use crossbeam_channel::{Receiver, Sender, bounded};
use std::io;
use store::state::Update;
use store::{Rejection, Store, Value};

const STACK_BYTES: usize = 512 << 10;
/// Capacity of the queue of results. Only one batch is written at a time, so it never fills up.
const MAX_PENDING_RESULTS: usize = 4;

/// The outcome of writing a batch.
pub(super) struct WriteResult {
    pub(super) seq: u64,
    /// Whether the batch is known to be stored.
    pub(super) is_written: bool,
}

/// Writes audit batches, one at a time.
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

    /// Starts writing a batch, whose result [`Recorder::next_result`] returns later. Returns false if a batch
    /// of an earlier term is still being written.
    pub(super) fn try_write(&self, batch: Batch) -> bool {
        self.batches.try_send(batch).is_ok()
    }

    /// The result of the next finished write, if any.
    pub(super) fn next_result(&self) -> Option<WriteResult> {
        self.results.try_recv().ok()
    }
}

/// Writes batches until the recorder is dropped.
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

/// Writes a batch to its slot. Returns false if the slot contains a batch of a later term.
fn write_batch(store: &Store, batch: &Batch) -> Result<bool, Rejection> {
    let Ok(text) = serde_json::to_string(batch) else { return Ok(false) };
    let key = slot_key(batch.seq % audit::RING_SLOTS);
    let state = store.state();
    let stored = state.get(&key);
    // A former leader must not overwrite the batches of its successor.
    if stored.is_some_and(|value| is_of_later_term(value, batch.term)) {
        return Ok(false);
    }
    let expected = Some(stored.map_or(0, |value| value.version));
    store.update(Update { key, text: Some(text), expected_version: expected }).map(|_| true)
}

fn is_of_later_term(stored: &Value, term: u64) -> bool {
    parse_batch(&stored.text).is_ok_and(|batch| batch.term > term)
}
