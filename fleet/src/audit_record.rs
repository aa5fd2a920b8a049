//! The audit record in the store: JSON batches under `fleet/audit/`, written by the service on the leader.
use audit::Batch;
use store::{State, Value};

/// Prefix of the batches' keys, which is followed by a slot number of four digits.
pub const KEY_PREFIX: &str = "fleet/audit/";

/// Parses the text of one stored batch.
///
/// # Errors
/// Fails if the text is not a batch, because it was edited by hand or written by another version of the
/// program.
pub fn parse_batch(text: &str) -> Result<Batch, serde_json::Error> {
    serde_json::from_str(text)
}

/// Returns all audit batches in a state of the store, ordered by slot. This is not their order in time,
/// because the slots are reused as a ring. A batch that cannot be parsed is logged and skipped, so that the
/// remaining batches can still be read.
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
