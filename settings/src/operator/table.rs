//! Functions that read tables of an operator's file: check for unknown keys, defaults, arrays of tables and
//! addresses.
use crate::error::{Error, Fault, json_kind};
use crate::fields::{array, number, string, unsigned_integer};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// The longest duration that a key in seconds can set (one day); longer ones are clamped.
const MAX_SECONDS: f64 = 86_400.0;

/// Rejects a value that is not a table, and a table that has a key other than `keys`.
pub(super) fn check_keys(v: &Value, keys: &[&str]) -> Result<(), Error> {
    let table = v.as_object().ok_or_else(|| Error::invalid("a table", json_kind(v)))?;
    match table.keys().find(|key| !keys.contains(&key.as_str())) {
        Some(key) => {
            let known = keys.iter().map(|known| (*known).to_string()).collect();
            Err(Fault::UnknownKey { key: key.clone(), known }.into())
        }
        None => Ok(()),
    }
}

/// Reads the value of a key, or returns the default if the key is missing.
pub(super) fn value_or<T>(
    v: &Value,
    key: &str,
    default: T,
    read: impl Fn(&Value, &str) -> Result<T, Error>,
) -> Result<T, Error> {
    if v.get(key).is_some() { read(v, key) } else { Ok(default) }
}

/// Reads the value of a key, or returns `None` if the key is missing.
pub(super) fn optional<T>(
    v: &Value,
    key: &str,
    read: impl Fn(&Value, &str) -> Result<T, Error>,
) -> Result<Option<T>, Error> {
    v.get(key).map(|_| read(v, key)).transpose()
}

/// Reads the table with this key, or returns `None` if the key is missing. Errors name the key.
pub(super) fn optional_table<T>(
    v: &Value,
    key: &str,
    read: impl Fn(&Value) -> Result<T, Error>,
) -> Result<Option<T>, Error> {
    v.get(key).map(read).transpose().map_err(|e| e.under_key(key))
}

/// Reads each table of an array of tables; a missing key is an empty array. Errors name the index of the
/// faulty table.
pub(super) fn read_tables<T>(
    v: &Value,
    key: &str,
    read: impl Fn(&Value) -> Result<T, Error>,
) -> Result<Vec<T>, Error> {
    if v.get(key).is_none() {
        return Ok(Vec::new());
    }
    let at = |(i, item)| read(item).map_err(|e| e.under_key(format!("{key}[{i}]")));
    array(v, key)?.iter().enumerate().map(at).collect()
}

/// Reads a string as an owned `String`.
pub(super) fn owned_string(v: &Value, key: &str) -> Result<String, Error> {
    string(v, key).map(str::to_string)
}

/// Reads a number above 0.
pub(super) fn positive_number(v: &Value, key: &str) -> Result<f64, Error> {
    let x = number(v, key)?;
    if x > 0.0 { Ok(x) } else { Err(Error::invalid_value(key, "a positive number", x)) }
}

/// Reads a duration given in seconds, clamped to one day; `default` is used if the key is missing.
pub(super) fn duration_from_seconds(v: &Value, key: &str, default: f64) -> Result<Duration, Error> {
    Ok(Duration::from_secs_f64(value_or(v, key, default, positive_number)?.min(MAX_SECONDS)))
}

/// Reads a loopback socket address.
pub(super) fn loopback_address(v: &Value, key: &str) -> Result<SocketAddr, Error> {
    let addr = string(v, key)?;
    let parsed: Option<SocketAddr> = addr.parse().ok().filter(|a: &SocketAddr| a.ip().is_loopback());
    parsed.ok_or_else(|| Error::invalid_value(key, "ip:port on loopback", format_args!("'{addr}'")))
}

/// Reads the table of a peer: its id, from the key `id_key`, and its address.
pub(super) fn read_peer(v: &Value, id_key: &str) -> Result<(u64, SocketAddr), Error> {
    check_keys(v, &[id_key, "addr"])?;
    Ok((unsigned_integer(v, id_key)?, loopback_address(v, "addr")?))
}
