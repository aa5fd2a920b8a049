//! Conversions for etcd's JSON gateway: bytes are base64, 64-bit integers are strings, and zeros are omitted.
use super::contents::Entry;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

/// Returns an integer field, encoded as a string or as a number; 0 if it is omitted.
pub(super) fn number(object: &Value, name: &str) -> u64 {
    let value = &object[name];
    value.as_u64().or_else(|| value.as_str().and_then(|text| text.parse().ok())).unwrap_or(0)
}

/// Decodes a base64 value; empty if it is omitted.
pub(super) fn bytes(value: &Value) -> Vec<u8> {
    STANDARD.decode(value.as_str().unwrap_or("")).unwrap_or_default()
}

/// Decodes a base64 value that contains text, such as a key.
pub(super) fn text(value: &Value) -> String {
    String::from_utf8_lossy(&bytes(value)).into_owned()
}

/// Encodes bytes as base64.
pub(super) fn encode(bytes: impl AsRef<[u8]>) -> String {
    STANDARD.encode(bytes)
}

/// Encodes a key with its value and revisions.
pub(super) fn key_value(key: &str, entry: &Entry) -> Value {
    json!({"key": encode(key), "value": encode(&entry.value), "version": "1",
        "create_revision": entry.created.to_string(), "mod_revision": entry.modified.to_string()})
}
