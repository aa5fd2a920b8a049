//! Reads the document from a node's state, or through a client of the store.
use super::parts::{self, Pointer};
use super::{CURRENT_KEY, Document, DocumentError, Metadata};
use settings::fleet::{self, Version};
use std::collections::BTreeMap;
use store::State;
use store::client::Client;
use store::wire::Consistency;

/// Maximum number of attempts of a reader. A reader starts over if a part is missing, because another
/// document has been written in the meantime.
const MAX_READ_ATTEMPTS: usize = 8;

fn parse(version: Version, pointer: Pointer, text: String) -> Result<Document, DocumentError> {
    let fleet = fleet::read(&text, None)?;
    Ok(Document { version, text, fleet, metadata: pointer.current, previous: pointer.previous })
}

/// The version of the document in a state of the store, 0 if there is none.
pub fn current_version(state: &State) -> Version {
    state.get(CURRENT_KEY).map_or(0, |value| value.revision)
}

fn find(state: &State) -> Result<Option<(Version, Pointer, String)>, DocumentError> {
    let Some(current) = state.get(CURRENT_KEY) else { return Ok(None) };
    let version = current.revision;
    let pointer = Pointer::parse(version, &current.text)?;
    let get = |key: &str| state.get(key).map(|value| value.text.as_str());
    let text = parts::join(version, &pointer.current, get)?.ok_or(DocumentError::Damaged(version))?;
    Ok(Some((version, pointer, text)))
}

/// The document in a state of the store; `None` if there is none.
///
/// # Errors
/// [`DocumentError::Damaged`] and [`DocumentError::Invalid`]: no part of the document may be used.
pub fn from_state(state: &State) -> Result<Option<Document>, DocumentError> {
    let Some((version, pointer, text)) = find(state)? else { return Ok(None) };
    parse(version, pointer, text).map(Some)
}

/// The version and the unparsed text of the document in a state of the store; `None` if there is none.
///
/// # Errors
/// [`DocumentError::Damaged`] if the stored parts are not the text that was written.
pub fn text_from_state(state: &State) -> Result<Option<(Version, String)>, DocumentError> {
    Ok(find(state)?.map(|(version, _, text)| (version, text)))
}

/// Reads the pointer and the version of the document that it points to.
pub(super) fn read_pointer(client: &Client) -> Result<Option<(Pointer, Version)>, DocumentError> {
    let Some(found) = client.get(CURRENT_KEY, Consistency::Linearizable)?.value else { return Ok(None) };
    Ok(Some((Pointer::parse(found.revision, &found.text)?, found.revision)))
}

/// Reads a document's text; `None` if the document is no longer retained.
pub(super) fn read_text(
    client: &Client,
    version: Version,
    metadata: &Metadata,
) -> Result<Option<String>, DocumentError> {
    let prefix = format!("{}{}/", parts::KEY_PREFIX, metadata.content_hash);
    let found: BTreeMap<_, _> = client.list(&prefix, Consistency::Linearizable)?.value.into_iter().collect();
    parts::join(version, metadata, |key| found.get(key).map(|value| value.text.as_str()))
}

/// Reads the current document through a client of the store; `None` if there is none.
///
/// # Errors
/// [`DocumentError::Store`] if the store does not respond, [`DocumentError::Damaged`] and
/// [`DocumentError::Invalid`] if the stored document cannot be used.
pub fn read(client: &Client) -> Result<Option<Document>, DocumentError> {
    let mut last_version = 0;
    for _ in 0..MAX_READ_ATTEMPTS {
        let Some((pointer, version)) = read_pointer(client)? else { return Ok(None) };
        if let Some(text) = read_text(client, version, &pointer.current)? {
            return parse(version, pointer, text).map(Some);
        }
        last_version = version;
    }
    Err(DocumentError::Damaged(last_version))
}
