//! Plans as TOML tables, in which a sweep sets one key.
use crate::error::Error;
use simulator::Plan;
use std::path::Path;
use toml::{Table, Value};

/// Reads and parses a TOML file.
///
/// # Errors
/// Returns an error if the file can't be read or is not valid TOML.
pub fn read_table(path: &Path) -> Result<Table, Error> {
    let text = std::fs::read_to_string(path).map_err(|source| Error::Read { path: path.into(), source })?;
    text.parse().map_err(|source| Error::Toml { path: path.into(), source })
}

/// Parses the plan in a table; errors name `path`.
///
/// # Errors
/// Returns an error if a key is unknown or its value is out of range.
pub fn plan_from_table(path: &Path, table: &Table) -> Result<Plan, Error> {
    let text = toml::to_string(table)?;
    Plan::read(&text).map_err(|source| Error::Plan { path: path.into(), source })
}

/// Sets a key. Dots separate the parts of the key; a number is an index into an array. The value is TOML or
/// an unquoted string.
///
/// # Errors
/// Returns an error if a part of the key other than the last is missing, or if the value can't be parsed.
pub fn set_key(table: &mut Table, key: &str, value: &str) -> Result<(), Error> {
    let value = parse_value(value)?;
    let missing = |part: &str| Error::UnknownKey { key: key.into(), part: part.into() };
    let parts: Vec<&str> = key.split('.').collect();
    let [first, inner @ ..] = parts.as_slice() else { return Err(missing(key)) };
    let Some((last, parents)) = inner.split_last() else {
        table.insert((*first).to_string(), value);
        return Ok(());
    };
    let mut parent = table.get_mut(*first).ok_or_else(|| missing(first))?;
    for part in parents {
        parent = child(parent, part).ok_or_else(|| missing(part))?;
    }
    if let Value::Table(parent) = parent {
        parent.insert((*last).to_string(), value);
    } else {
        *child(parent, last).ok_or_else(|| missing(last))? = value;
    }
    Ok(())
}

fn child<'a>(parent: &'a mut Value, part: &str) -> Option<&'a mut Value> {
    match parent {
        Value::Array(list) => list.get_mut(part.parse::<usize>().ok()?),
        Value::Table(table) => table.get_mut(part),
        _ => None,
    }
}

fn parse_value(text: &str) -> Result<Value, Error> {
    let parse = |text: String| text.parse::<Table>().ok()?.remove("value");
    parse(format!("value = {text}"))
        .or_else(|| parse(format!("value = '{text}'")))
        .ok_or_else(|| Error::InvalidValue(text.into()))
}
