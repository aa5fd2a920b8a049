//! Splitting a document's text into parts and joining them.
use fleet::document::parts::{MAX_PART_BYTES, content_hash, describe, join, part_key, split};
use fleet::document::{DocumentError, Metadata};

#[test]
fn text_is_split_at_character_boundaries_and_joined_again() {
    let text = "\u{e9}".repeat(MAX_PART_BYTES) + "x";
    let parts = split(&text);
    assert!(parts.len() == 3 && parts.iter().all(|p| p.len() <= MAX_PART_BYTES));
    let metadata = Metadata {
        content_hash: content_hash(&text),
        part_count: parts.len(),
        length: text.len(),
        crc32: crc32fast::hash(text.as_bytes()),
        note: String::new(),
    };
    assert_eq!(describe(&text, parts.len(), ""), metadata);
    let get = |key: &str| {
        let index = (0..parts.len()).find(|i| part_key(&metadata.content_hash, *i) == key)?;
        Some(parts[index])
    };
    assert_eq!(join(1, &metadata, get).unwrap().as_deref(), Some(text.as_str()));
    assert_eq!(join(1, &metadata, |key| get(key).filter(|p| p.len() > 1)).unwrap(), None);
    let damaged = Metadata { crc32: 0, ..metadata.clone() };
    assert!(matches!(join(7, &damaged, get), Err(DocumentError::Damaged(7))));
}
