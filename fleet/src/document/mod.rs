//! The fleet's configuration in the store.
//!
//! A value of the store is small and the document must change as a whole. So its text is split into parts, stored under
//! keys of its own content hash, and one key, [`CURRENT_KEY`], points at them. The pointer is set last, by
//! compare-and-set on its version: a reader sees the document before the change or the one after it, never a mixture.
//! A document's version is the store's revision at which the pointer was set to it.
pub mod parts;
mod read;
mod seed;
mod write;

pub use read::{current_version, from_state, read, text_from_state};
pub use seed::start_seeding;
pub use write::{undo, write};

use serde::{Deserialize, Serialize};
use settings::fleet::{Fleet, FleetError, Version};
use store::client::ClientError;
use thiserror::Error;

/// The pointer's key.
pub const CURRENT_KEY: &str = "fleet/current";
/// The most bytes of the note that a writer leaves with a document.
pub const MAX_NOTE_BYTES: usize = 1024;

/// Why a document could not be read or written.
#[derive(Debug, Error)]
pub enum DocumentError {
    /// The store did not serve the request.
    #[error(transparent)]
    Store(#[from] ClientError),
    /// The document's text is not a valid configuration.
    #[error(transparent)]
    Invalid(#[from] FleetError),
    /// Another version than the expected one is the current one.
    #[error(
        "version {found} stands there, {expected} was expected; look at it with `fleet show` and set yours again"
    )]
    VersionConflict {
        /// The version that the writer expected, 0 for no document.
        expected: Version,
        /// The version that is current, 0 for no document.
        found: Version,
    },
    /// No previous document is kept.
    #[error("there is no previous document to go back to; set one with `fleet set`")]
    NoPrevious,
    /// The stored document of this version is not the one that was written.
    #[error("the document of version {0} is damaged in the store; set it again with `fleet set`")]
    Damaged(Version),
    /// The note has this many bytes, more than [`MAX_NOTE_BYTES`].
    #[error("the note has {0} bytes; {MAX_NOTE_BYTES} are allowed")]
    NoteTooLong(usize),
}

/// What the store keeps of a document besides its text. The serialized names are part of the stored form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Metadata {
    /// Hash of the text; names the keys of its parts.
    #[serde(rename = "hash")]
    pub content_hash: String,
    /// Number of parts.
    #[serde(rename = "parts")]
    pub part_count: usize,
    /// Bytes of the text.
    #[serde(rename = "bytes")]
    pub length: usize,
    /// CRC-32 of the text.
    #[serde(rename = "checksum")]
    pub crc32: u32,
    /// Who wrote it, and why.
    pub note: String,
}

/// A document that was current before. Stored as an array of version and metadata.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(Version, Metadata)", into = "(Version, Metadata)")]
pub struct PreviousDocument {
    /// The version that it had.
    pub version: Version,
    /// What is stored of it.
    pub metadata: Metadata,
}

impl From<(Version, Metadata)> for PreviousDocument {
    fn from((version, metadata): (Version, Metadata)) -> PreviousDocument {
        PreviousDocument { version, metadata }
    }
}

impl From<PreviousDocument> for (Version, Metadata) {
    fn from(previous: PreviousDocument) -> (Version, Metadata) {
        (previous.version, previous.metadata)
    }
}

/// The current document as it is stored.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// Its version.
    pub version: Version,
    /// Its text, as it was written.
    pub text: String,
    /// The parsed text.
    pub fleet: Fleet,
    /// What is stored besides the text.
    pub metadata: Metadata,
    /// The documents before it that are still kept, the latest first.
    pub previous: Vec<PreviousDocument>,
}
