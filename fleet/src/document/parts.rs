//! The stored format of a document: its text in parts, and the pointer to them.
use super::{DocumentError, Metadata, PreviousDocument};
use serde::{Deserialize, Serialize};
use settings::fleet::Version;
use sha2::{Digest, Sha256};

/// Prefix of the parts' keys, which is followed by the content hash and the index of the part.
pub const KEY_PREFIX: &str = "fleet/parts/";
/// Maximum length of a part, in bytes, which must not exceed the store's maximum length of a value.
pub const MAX_PART_BYTES: usize = 48 << 10;
/// Number of bytes of the SHA-256 digest that are used as the content hash.
const HASH_BYTES: usize = 16;

/// The value of [`super::CURRENT_KEY`]. The serialized names are part of the stored format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Pointer {
    #[serde(rename = "now")]
    pub(super) current: Metadata,
    /// The previous documents, the latest first.
    #[serde(rename = "before")]
    pub(super) previous: Vec<PreviousDocument>,
}

impl Pointer {
    /// Parses the pointer that was written at `version`.
    pub(super) fn parse(version: Version, text: &str) -> Result<Pointer, DocumentError> {
        serde_json::from_str(text).map_err(|_| DocumentError::Damaged(version))
    }
}

/// The key of part `index` of the text with this content hash.
pub fn part_key(content_hash: &str, index: usize) -> String {
    format!("{KEY_PREFIX}{content_hash}/{index:04}")
}

/// Extracts the content hash from a part's key.
pub(super) fn hash_of_key(key: &str) -> &str {
    key[KEY_PREFIX.len()..].split('/').next().unwrap_or_default()
}

/// Splits a text at character boundaries into parts of at most [`MAX_PART_BYTES`].
pub fn split(mut text: &str) -> Vec<&str> {
    let mut parts = Vec::new();
    while text.len() > MAX_PART_BYTES {
        let (head, rest) = text.split_at(text.floor_char_boundary(MAX_PART_BYTES));
        parts.push(head);
        text = rest;
    }
    parts.push(text);
    parts
}

/// The content hash of a text, in hexadecimal digits, which is part of the keys of its parts.
pub fn content_hash(text: &str) -> String {
    Sha256::digest(text).iter().take(HASH_BYTES).map(|byte| format!("{byte:02x}")).collect()
}

/// Creates the metadata of a text that is split into `part_count` parts.
pub fn describe(text: &str, part_count: usize, note: &str) -> Metadata {
    Metadata {
        content_hash: content_hash(text),
        part_count,
        length: text.len(),
        crc32: crc32fast::hash(text.as_bytes()),
        note: note.into(),
    }
}

/// Joins the parts of a text, which `get` looks up by key. Returns `None` if a part is missing.
///
/// # Errors
/// [`DocumentError::Damaged`] with `version` if the joined text differs from the text that was written.
pub fn join<'a>(
    version: Version,
    metadata: &Metadata,
    get: impl Fn(&str) -> Option<&'a str>,
) -> Result<Option<String>, DocumentError> {
    let mut text = String::new();
    for index in 0..metadata.part_count {
        let Some(part) = get(&part_key(&metadata.content_hash, index)) else { return Ok(None) };
        text.push_str(part);
    }
    let intact = text.len() == metadata.length && crc32fast::hash(text.as_bytes()) == metadata.crc32;
    if intact { Ok(Some(text)) } else { Err(DocumentError::Damaged(version)) }
}
