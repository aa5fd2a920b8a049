//! Validation of names and lists of names in a fleet document.
use super::error::{FleetError, invalid_value};
use std::collections::BTreeSet;

/// The maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Rejects a name that would need quoting in keys, logs or SQL comments.
pub(super) fn check_name(key: &str, name: &str) -> Result<(), FleetError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '@');
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(allowed) {
        let expected = format!("1 to {MAX_NAME_BYTES} letters, digits and any of - _ . @");
        return Err(invalid_value(key, expected, format!("'{name}'")));
    }
    Ok(())
}

/// Converts a list of names to a set and rejects duplicates.
pub(super) fn name_set(key: &str, names: &[String]) -> Result<BTreeSet<String>, FleetError> {
    let mut set = BTreeSet::new();
    for name in names {
        check_name(key, name)?;
        if !set.insert(name.clone()) {
            return Err(FleetError::Duplicate { key: key.into(), name: name.clone(), first_key: key.into() });
        }
    }
    Ok(set)
}
