//! The first document of a new fleet.
use super::{DocumentError, read, write};
use settings::fleet::Version;
use std::io;
use std::time::Duration;
use store::client::Client;

const STACK_BYTES: usize = 1 << 20;
/// The pause between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// The note that the document is written with.
const NOTE: &str = "the seed";

/// How one attempt ended.
enum Seeding {
    Written(Version),
    /// The store has a document, or a writer came first.
    AlreadyStored,
}

/// Starts a thread that writes a document where the store has none, and retries until the store is known to have one.
///
/// # Errors
/// Where the thread cannot be started.
pub fn start_seeding(client: Client, text: String) -> io::Result<()> {
    let run = move || {
        loop {
            match seed(&client, &text) {
                Ok(Seeding::Written(version)) => {
                    tracing::info!(version, "seed of the fleet document written");
                    return;
                }
                Ok(Seeding::AlreadyStored) => return,
                // The store may not list all servers yet.
                Err(error) => tracing::warn!(%error, "seed of the fleet document not written, will retry"),
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
