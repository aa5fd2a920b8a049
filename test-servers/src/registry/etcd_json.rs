//! Values of etcd's JSON gateway: bytes are base64, 64-bit numbers are strings, zeros are left out.
use super::contents::Entry;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

/// A number, as a string or plain; 0 where it is left out.
pub(super) fn number(object: &Value, name: &str) -> u64 {
    let value = &object[name];
    value.as_u64().or_else(|| value.as_str().and_then(|text| text.parse().ok())).unwrap_or(0)
}

/// Bytes; empty where they are left out.
pub(super) fn bytes(value: &Value) -> Vec<u8> {
    STANDARD.decode(value.as_str().unwrap_or("")).unwrap_or_default()
}

/// Bytes that are text, such as a key.
pub(super) fn text(value: &Value) -> String {
    String::from_utf8_lossy(&bytes(value)).into_owned()
}

/// Bytes as they are sent.
pub(super) fn encode(bytes: impl AsRef<[u8]>) -> String {
    STANDARD.encode(bytes)
}

/// A key with its value and its revisions.
pub(super) fn key_value(key: &str, entry: &Entry) -> Value {
    json!({"key": encode(key), "value": encode(&entry.value), "version": "1",
        "create_revision": entry.created.to_string(), "mod_revision": entry.modified.to_string()})
}
