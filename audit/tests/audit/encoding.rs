//! The two encodings that the audit's values travel in: JSON as the store and the operators' command have it, and
//! postcard as routers and store nodes exchange it.
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The value as compact JSON.
pub(crate) fn to_json(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("an audit value")
}

/// A value from JSON that holds nothing else.
pub(crate) fn from_json<T: DeserializeOwned>(text: &str) -> serde_json::Result<T> {
    serde_json::from_str(text)
}

/// The value in postcard's bytes.
pub(crate) fn to_postcard(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).expect("an audit value")
}

/// A value from postcard's bytes, which must hold nothing else.
pub(crate) fn from_postcard<T: DeserializeOwned>(bytes: &[u8]) -> postcard::Result<T> {
    let (value, rest) = postcard::take_from_bytes(bytes)?;
    assert!(rest.is_empty(), "bytes after the value: {rest:?}");
    Ok(value)
}
