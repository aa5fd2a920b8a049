//! Names in a document: what they may hold, and lists of them.
use super::error::{FleetError, value};
use std::collections::BTreeSet;

/// The longest name, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Refuses a name that could not stand unquoted in keys, logs and SQL comments.
pub(super) fn check_name(key: &str, name: &str) -> Result<(), FleetError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '@');
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(allowed) {
        let expected = format!("1 to {MAX_NAME_BYTES} letters, digits and any of - _ . @");
        return Err(value(key, expected, format!("'{name}'")));
    }
    Ok(())
}

/// A list of names as a set; each may stand once.
pub(super) fn name_set(key: &str, listed: &[String]) -> Result<BTreeSet<String>, FleetError> {
    let mut set = BTreeSet::new();
    for name in listed {
        check_name(key, name)?;
        if !set.insert(name.clone()) {
            return Err(FleetError::Twice { key: key.into(), name: name.clone(), before: key.into() });
        }
    }
    Ok(set)
}
