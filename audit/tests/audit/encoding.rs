//! The two encodings of the audit's values: JSON in the store and in the output for operators, and postcard
//! between routers and store nodes.
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Encodes a value as compact JSON.
pub(crate) fn to_json(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("encoding an audit value")
}

/// Decodes a value from JSON without trailing content.
pub(crate) fn from_json<T: DeserializeOwned>(text: &str) -> serde_json::Result<T> {
    serde_json::from_str(text)
}

/// Encodes a value with postcard.
pub(crate) fn to_postcard(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).expect("encoding an audit value")
}

/// Decodes a value from postcard bytes, which must contain nothing else.
pub(crate) fn from_postcard<T: DeserializeOwned>(bytes: &[u8]) -> postcard::Result<T> {
    let (value, rest) = postcard::take_from_bytes(bytes)?;
    assert!(rest.is_empty(), "trailing bytes after the value: {rest:?}");
    Ok(value)
}
