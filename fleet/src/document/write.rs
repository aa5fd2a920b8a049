//! Writes the document: first its parts, then the pointer. Parts that are no longer referenced are deleted
//! afterwards.
use super::parts::{self, Pointer};
use super::read::{read_pointer, read_text};
use super::{CURRENT_KEY, DocumentError, MAX_NOTE_BYTES, Metadata, PreviousDocument};
use settings::fleet::{self, Version};
use std::collections::BTreeSet;
use std::iter;
use store::Rejection;
use store::client::{Client, ClientError, UpdateOptions};
use store::wire::Consistency;

/// Maximum number of retained documents, including the current one. [`MAX_RETAINED_BYTES`] limits them as
/// well.
const MAX_RETAINED_DOCUMENTS: usize = 8;
/// Maximum total length of the retained documents, in bytes. The current one and its predecessor are always
/// retained, whatever their length.
const MAX_RETAINED_BYTES: usize = 3 << 20;
/// Prefix of the keys under which the store lists servers.
const SERVER_KEY_PREFIX: &str = "server/";

/// The pointer as read before a write.
struct FoundPointer {
    /// The version of the pointer's key, for compare-and-set; 0 if the key does not exist.
    key_version: u64,
    /// The document's version; 0 if there is no document.
    version: Version,
    /// The pointer; `None` if it does not exist or cannot be parsed. A pointer that cannot be parsed is
    /// replaced as well, but the documents that it references are not retained.
    pointer: Option<Pointer>,
}

fn read_replaced_pointer(client: &Client) -> Result<FoundPointer, DocumentError> {
    let Some(value) = client.get(CURRENT_KEY, Consistency::Linearizable)?.value else {
        return Ok(FoundPointer { key_version: 0, version: 0, pointer: None });
    };
    let pointer = Pointer::parse(value.revision, &value.text).ok();
    Ok(FoundPointer { key_version: value.version, version: value.revision, pointer })
}

/// Writes a document, makes it the current one and returns its version.
///
/// `expected` is the version that the new document replaces, 0 for none; `None` stands for the version that
/// is current when the write starts. Each strict placement rule must allow at least one of the servers that
/// the store lists.
///
/// # Errors
/// [`DocumentError::Invalid`] names the invalid key, and [`DocumentError::VersionConflict`] the version that
/// another writer has written. Nothing has changed after these or after [`DocumentError::NoteTooLong`]. After
/// [`DocumentError::Store`], a failed request to the store, the document may have been written.
pub fn write(
    client: &Client,
    text: &str,
    expected: Option<Version>,
    note: &str,
) -> Result<Version, DocumentError> {
    check(client, text, note)?;
    let found = read_replaced_pointer(client)?;
    if let Some(expected) = expected.filter(|e| *e != found.version) {
        return Err(DocumentError::VersionConflict { expected, found: found.version });
    }
    let metadata = put_parts(client, text, note)?;
    let previous = found.pointer.map_or_else(Vec::new, |p| retained_documents(&metadata, found.version, p));
    let pointer = Pointer { current: metadata, previous };
    let version = set_pointer(client, &pointer, found.key_version, expected)?;
    // The new document is already current. Parts that remain only take up space, and the next write tries
    // again to delete them.
    if let Err(error) = delete_unreferenced_parts(client, &pointer, version) {
        tracing::warn!(%error, "unused parts of old fleet documents not deleted, the next write retries");
    }
    Ok(version)
}

fn check(client: &Client, text: &str, note: &str) -> Result<(), DocumentError> {
    let fleet = fleet::read(text, None)?;
    if note.len() > MAX_NOTE_BYTES {
        return Err(DocumentError::NoteTooLong(note.len()));
    }
    if let Some(sites) = listed_sites(client)? {
        fleet.check_strict_sites(&sites)?;
    }
    Ok(())
}

/// The sites of the servers that the store lists. `None` if it lists none, because the servers are listed in
/// a registry then.
fn listed_sites(client: &Client) -> Result<Option<BTreeSet<String>>, DocumentError> {
    let listed = client.list(SERVER_KEY_PREFIX, Consistency::Linearizable)?.value;
    let site = |text: &str| {
        let server: serde_json::Value = serde_json::from_str(text).ok()?;
        Some(server.get("site")?.as_str()?.to_string())
    };
    Ok((!listed.is_empty()).then(|| listed.iter().filter_map(|(_, value)| site(&value.text)).collect()))
}

/// Writes all parts of a text, including those that are stored already: their new revisions show
/// [`delete_unreferenced_parts`] that they are in use again.
fn put_parts(client: &Client, text: &str, note: &str) -> Result<Metadata, DocumentError> {
    let parts = parts::split(text);
    let metadata = parts::describe(text, parts.len(), note);
    for (index, part) in parts.iter().enumerate() {
        client.put(&parts::part_key(&metadata.content_hash, index), part, UpdateOptions::default())?;
    }
    Ok(metadata)
}

/// Selects which documents of the replaced pointer are retained besides the new one, the latest first. The
/// latest one is always retained, because an undo restores it.
fn retained_documents(new: &Metadata, replaced_version: Version, replaced: Pointer) -> Vec<PreviousDocument> {
    let latest = PreviousDocument { version: replaced_version, metadata: replaced.current };
    let mut total_bytes = new.length;
    let mut retained = Vec::new();
    for document in iter::once(latest).chain(replaced.previous) {
        total_bytes += document.metadata.length;
        let fits = retained.len() + 1 < MAX_RETAINED_DOCUMENTS && total_bytes <= MAX_RETAINED_BYTES;
        if !retained.is_empty() && !fits {
            break;
        }
        retained.push(document);
    }
    retained
}

/// Writes the pointer if its key still has the version `key_version`. Returns the document's version.
fn set_pointer(
    client: &Client,
    pointer: &Pointer,
    key_version: u64,
    expected: Option<Version>,
) -> Result<Version, DocumentError> {
    let json = serde_json::to_string(pointer).unwrap_or_default();
    match client.put(
        CURRENT_KEY,
        &json,
        UpdateOptions { expected_version: Some(key_version), ..UpdateOptions::default() },
    ) {
        Ok(changed) => Ok(changed.revision),
        Err(ClientError::Rejected(Rejection::VersionMismatch { .. })) => {
            let found =
                client.get(CURRENT_KEY, Consistency::Linearizable)?.value.map_or(0, |value| value.revision);
            Err(DocumentError::VersionConflict { expected: expected.unwrap_or(found), found })
        }
        Err(error) => Err(error.into()),
    }
}

/// Deletes the parts of documents that are no longer retained. `version` is the version of `pointer`. Parts
/// with a later revision belong to a write in progress and are skipped. A concurrent writer that wrote its
/// parts earlier will fail to set its pointer.
fn delete_unreferenced_parts(
    client: &Client,
    pointer: &Pointer,
    version: Version,
) -> Result<(), ClientError> {
    let previous = pointer.previous.iter().map(|document| &document.metadata);
    let retained: BTreeSet<&str> =
        previous.chain([&pointer.current]).map(|metadata| metadata.content_hash.as_str()).collect();
    for (key, value) in client.list(parts::KEY_PREFIX, Consistency::Linearizable)?.value {
        if retained.contains(parts::hash_of_key(&key)) || value.revision > version {
            continue;
        }
        match client
            .delete(&key, UpdateOptions { expected_version: Some(value.version), ..UpdateOptions::default() })
        {
            Ok(_) | Err(ClientError::Rejected(Rejection::VersionMismatch { .. })) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Restores the previous document: writes it as the current one under a new version, and returns that
/// version.
///
/// # Errors
/// [`DocumentError::NoPrevious`] if none is retained, and the errors of [`write()`].
pub fn undo(client: &Client, note: &str) -> Result<Version, DocumentError> {
    let (pointer, current_version) = read_pointer(client)?.ok_or(DocumentError::NoPrevious)?;
    let previous = pointer.previous.first().ok_or(DocumentError::NoPrevious)?;
    let text = read_text(client, previous.version, &previous.metadata)?.ok_or(DocumentError::NoPrevious)?;
    write(client, &text, Some(current_version), note)
}
