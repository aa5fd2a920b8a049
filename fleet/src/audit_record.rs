//! The audit's record in the store: JSON batches under `fleet/audit/`, which the leader's service writes.
use audit::Batch;
use store::{State, Value};

/// The prefix of the batches' keys; a slot number of four digits follows.
pub const KEY_PREFIX: &str = "fleet/audit/";

/// Parses the text of one stored batch.
///
/// # Errors
/// Where the text is not a batch: it was edited by hand or written by another version of the program.
pub fn parse_batch(text: &str) -> Result<Batch, serde_json::Error> {
    serde_json::from_str(text)
}

/// All batches in a state of the store, in the order of their slots, which is not that of their age: the slots are used
/// in a ring. A batch that cannot be read is logged and skipped, so that it does not hide the others.
pub fn stored_batches(state: &State) -> Vec<Batch> {
    let parse = |(key, value): (&str, &Value)| match parse_batch(&value.text) {
        Ok(batch) => Some(batch),
        Err(error) => {
            tracing::warn!(key, %error, "audit batch unreadable, skipped");
            None
        }
    };
    state.with_prefix(KEY_PREFIX).filter_map(parse).collect()
}
