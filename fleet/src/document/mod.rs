//! The fleet document: the fleet's configuration in the store.
//!
//! The values of the store are limited in size, but the document must change atomically. So its text is split
//! into parts, stored under keys that contain its content hash, and the key [`CURRENT_KEY`] points to them.
//! The pointer is written last, by compare-and-set on its version, so a reader sees either the old document
//! or the new one, never a mixture. A document's version is the store's revision at which the pointer was set
//! to it.
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

/// Key of the pointer to the current document.
pub const CURRENT_KEY: &str = "fleet/current";
/// Maximum length of the note that a writer adds to a document, in bytes.
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
    /// The current version is not the expected one.
    #[error("the current version is {found}, {expected} was expected; see `fleet show` and set yours again")]
    VersionConflict {
        /// The version that the writer expected, 0 if it expected no document.
        expected: Version,
        /// The current version, 0 if there is no document.
        found: Version,
    },
    /// No previous document is retained.
    #[error("there is no previous document to go back to; set one with `fleet set`")]
    NoPrevious,
    /// The stored document of this version differs from the document that was written.
    #[error("the document of version {0} is damaged in the store; set it again with `fleet set`")]
    Damaged(Version),
    /// The note is longer than [`MAX_NOTE_BYTES`]. Contains its length.
    #[error("the note has {0} bytes, the maximum is {MAX_NOTE_BYTES}")]
    NoteTooLong(usize),
}

/// What the store contains for a document besides its text. The serialized names are part of the stored
/// format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Metadata {
    /// Hash of the text, which is part of the keys of its parts.
    #[serde(rename = "hash")]
    pub content_hash: String,
    /// Number of parts that the text is split into.
    #[serde(rename = "parts")]
    pub part_count: usize,
    /// Length of the text, in bytes.
    #[serde(rename = "bytes")]
    pub length: usize,
    /// CRC-32 of the text.
    #[serde(rename = "checksum")]
    pub crc32: u32,
    /// Note of the writer: who wrote the document, and why.
    pub note: String,
}

/// A previous document. Serialized as an array of version and metadata.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(Version, Metadata)", into = "(Version, Metadata)")]
pub struct PreviousDocument {
    /// The version of the document.
    pub version: Version,
    /// The metadata of the document.
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

/// The current document, as stored.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// The version of the document.
    pub version: Version,
    /// The text as it was written.
    pub text: String,
    /// The configuration parsed from the text.
    pub fleet: Fleet,
    /// The metadata of the document.
    pub metadata: Metadata,
    /// The previous documents that are still retained, the latest first.
    pub previous: Vec<PreviousDocument>,
}
