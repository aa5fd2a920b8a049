//! Reading the tables of the operator's file: known keys, defaults, lists of tables and addresses.
use crate::error::{Error, Fault, json_kind};
use crate::fields::{array, number, string, unsigned_integer};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// The longest time in seconds that a key given in seconds may set: one day. Longer ones count as this.
const MAX_SECONDS: f64 = 86_400.0;

/// Rejects a value that is not a table, and a table with a key that is not one of `keys`.
pub(super) fn only(v: &Value, keys: &[&str]) -> Result<(), Error> {
    let table = v.as_object().ok_or_else(|| Error::invalid("a table", json_kind(v)))?;
    match table.keys().find(|key| !keys.contains(&key.as_str())) {
        Some(key) => {
            let known = keys.iter().map(|known| (*known).to_string()).collect();
            Err(Fault::UnknownKey { key: key.clone(), known }.into())
        }
        None => Ok(()),
    }
}

/// The value of a key, or its default where the key is missing.
pub(super) fn or<T>(
    v: &Value,
    key: &str,
    default: T,
    read: impl Fn(&Value, &str) -> Result<T, Error>,
) -> Result<T, Error> {
    if v.get(key).is_some() { read(v, key) } else { Ok(default) }
}

/// The value of a key, or `None` where the key is missing.
pub(super) fn optional<T>(
    v: &Value,
    key: &str,
    read: impl Fn(&Value, &str) -> Result<T, Error>,
) -> Result<Option<T>, Error> {
    v.get(key).map(|_| read(v, key)).transpose()
}

/// The table under a key, or `None` where the key is missing. Errors name the key.
pub(super) fn optional_table<T>(
    v: &Value,
    key: &str,
    read: impl Fn(&Value) -> Result<T, Error>,
) -> Result<Option<T>, Error> {
    v.get(key).map(read).transpose().map_err(|e| e.under_key(key))
}

/// Reads each table of an array; no tables where the key is missing. Errors name the position.
pub(super) fn each<T>(
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

/// A text, as an owned `String`.
pub(super) fn owned(v: &Value, key: &str) -> Result<String, Error> {
    string(v, key).map(str::to_string)
}

/// A number above 0.
pub(super) fn positive(v: &Value, key: &str) -> Result<f64, Error> {
    let x = number(v, key)?;
    if x > 0.0 { Ok(x) } else { Err(Error::invalid_value(key, "a positive number", x)) }
}

/// A length of time given in seconds, `default` where the key is missing, at most a day.
pub(super) fn seconds(v: &Value, key: &str, default: f64) -> Result<Duration, Error> {
    Ok(Duration::from_secs_f64(or(v, key, default, positive)?.min(MAX_SECONDS)))
}

/// A socket address of this machine's loopback networks.
pub(super) fn loopback(v: &Value, key: &str) -> Result<SocketAddr, Error> {
    let addr = string(v, key)?;
    let parsed: Option<SocketAddr> = addr.parse().ok().filter(|a: &SocketAddr| a.ip().is_loopback());
    parsed.ok_or_else(|| Error::invalid_value(key, "ip:port on loopback", format_args!("'{addr}'")))
}

/// A peer's table: its number, under `id_key`, and its address.
pub(super) fn peer(v: &Value, id_key: &str) -> Result<(u64, SocketAddr), Error> {
    only(v, &[id_key, "addr"])?;
    Ok((unsigned_integer(v, id_key)?, loopback(v, "addr")?))
}
