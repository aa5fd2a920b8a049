//! Comparison of two versions of a configuration table by key.
use serde_json::Value;

/// Returns the keys whose values differ between two tables, sorted, except those in `ignored_keys`.
pub(crate) fn changed_keys(old: &Value, new: &Value, ignored_keys: &[&str]) -> Vec<String> {
    let keys = |v: &Value| v.as_object().into_iter().flat_map(|o| o.keys().cloned()).collect::<Vec<_>>();
    let mut all = [keys(old), keys(new)].concat();
    all.sort();
    all.dedup();
    all.retain(|k| !ignored_keys.contains(&k.as_str()) && old.get(k) != new.get(k));
    all
}
