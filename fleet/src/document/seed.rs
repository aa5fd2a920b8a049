//! Writes the first document of a new fleet.
use super::{DocumentError, read, write};
use settings::fleet::Version;
use std::io;
use std::time::Duration;
use store::client::Client;

const STACK_BYTES: usize = 1 << 20;
/// Pause between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// The note of the first document.
const NOTE: &str = "the seed";

/// The outcome of an attempt.
enum Seeding {
    Written(Version),
    /// The store has a document already, or another writer was faster.
    AlreadyStored,
}

/// Starts a thread that writes `text` as the document if the store has none. The thread retries until the
/// store is known to have a document.
///
/// # Errors
/// Fails if the thread cannot be started.
pub fn start_seeding(client: Client, text: String) -> io::Result<()> {
    let run = move || {
        loop {
            match seed(&client, &text) {
                Ok(Seeding::Written(version)) => {
                    tracing::info!(version, "seed fleet document written");
                    return;
                }
                Ok(Seeding::AlreadyStored) => return,
                // For example, the store may not list all servers yet.
                Err(error) => tracing::warn!(%error, "seed fleet document not written, will retry"),
            }
            std::thread::sleep(RETRY_INTERVAL);
        }
    };
    routing::spawn_needed("fleet-seed", STACK_BYTES, run)
}

fn seed(client: &Client, text: &str) -> Result<Seeding, DocumentError> {
    match read(client) {
        Ok(None) => {}
        Ok(Some(_)) | Err(DocumentError::Invalid(_) | DocumentError::Damaged(_)) => {
            return Ok(Seeding::AlreadyStored);
        }
        Err(error) => return Err(error),
    }
    match write(client, text, Some(0), NOTE) {
        Ok(version) => Ok(Seeding::Written(version)),
        Err(DocumentError::VersionConflict { .. }) => Ok(Seeding::AlreadyStored),
        Err(error) => Err(error),
    }
}
