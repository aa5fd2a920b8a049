//! JSON encoding of etcd's gateway: bytes are base64, 64-bit numbers are strings, zeros and empty values are
//! omitted.
use crate::RequestError;
use crate::machine::{Change, Item};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::Value;

/// Encodes bytes as base64.
pub fn encoded(bytes: impl AsRef<[u8]>) -> String {
    STANDARD.encode(bytes)
}

/// The exclusive upper bound of all keys with the prefix, as etcd's `range_end` expects it.
pub fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.last_mut() {
        if *last < 0xff {
            *last += 1;
            return end;
        }
        end.pop();
    }
    // etcd's notation for a range without an upper bound.
    vec![0]
}

/// Reads a 64-bit number that is encoded as a string or as a JSON number; 0 if omitted.
pub fn number(object: &Value, name: &str) -> u64 {
    let value = &object[name];
    value.as_u64().or_else(|| value.as_str().and_then(|s| s.parse().ok())).unwrap_or(0)
}

/// The elements of a list; empty if the list is omitted.
pub fn elements<'a>(object: &'a Value, name: &str) -> &'a [Value] {
    object[name].as_array().map(Vec::as_slice).unwrap_or_default()
}

/// Decodes a key-value object.
///
/// # Errors
/// If the key or the value is not base64, or the key is not UTF-8.
pub fn item(kv: &Value) -> Result<Item, RequestError> {
    let bytes = |name: &str| {
        let text = kv[name].as_str().unwrap_or("");
        STANDARD
            .decode(text)
            .map_err(|e| RequestError::InvalidResponse { reason: format!("'{name}' is not base64: {e}") })
    };
    let key = String::from_utf8(bytes("key")?)
        .map_err(|_| RequestError::InvalidResponse { reason: "a key is not UTF-8".into() })?;
    Ok(Item {
        key,
        value: bytes("value")?,
        created: number(kv, "create_revision"),
        modified: number(kv, "mod_revision"),
    })
}

/// Decodes a watch event.
///
/// # Errors
/// As for [`item`].
pub fn change(event: &Value) -> Result<Change, RequestError> {
    let item = item(&event["kv"])?;
    Ok(match event["type"].as_str() {
        Some("DELETE") => Change::Delete { key: item.key, revision: item.modified },
        _ => Change::Put(item),
    })
}
