//! The JSON of etcd's gateway: bytes are base64, numbers of 64 bits are text, zeros and empty values are left out.
use crate::RequestError;
use crate::machine::{Change, Item};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::Value;

/// Bytes as base64.
pub fn encoded(bytes: impl AsRef<[u8]>) -> String {
    STANDARD.encode(bytes)
}

/// The first key behind all that begin with the prefix, as etcd's `range_end` wants it.
pub fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.last_mut() {
        if *last < 0xff {
            *last += 1;
            return end;
        }
        end.pop();
    }
    // All keys.
    vec![0]
}

/// A number of 64 bits: text, or a plain number; 0 where it is left out.
pub fn number(object: &Value, name: &str) -> u64 {
    let value = &object[name];
    value.as_u64().or_else(|| value.as_str().and_then(|s| s.parse().ok())).unwrap_or(0)
}

/// A list's elements; none where it is left out.
pub fn elements<'a>(object: &'a Value, name: &str) -> &'a [Value] {
    object[name].as_array().map(Vec::as_slice).unwrap_or_default()
}

/// The item of a key-value object.
///
/// # Errors
/// The key or the value is no base64, or the key no UTF-8.
pub fn item(kv: &Value) -> Result<Item, RequestError> {
    let bytes = |name: &str| {
        let text = kv[name].as_str().unwrap_or("");
        STANDARD
            .decode(text)
            .map_err(|e| RequestError::InvalidResponse { reason: format!("'{name}' is no base64: {e}") })
    };
    let key = String::from_utf8(bytes("key")?)
        .map_err(|_| RequestError::InvalidResponse { reason: "a key is no UTF-8".into() })?;
    Ok(Item {
        key,
        value: bytes("value")?,
        created: number(kv, "create_revision"),
        modified: number(kv, "mod_revision"),
    })
}

/// The change that an event of a watch describes.
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
