//! Which keys two readings of a file differ in.
use serde_json::Value;

/// The keys whose values differ between two tables, sorted, without those in `but`.
pub(crate) fn changed_keys(old: &Value, new: &Value, but: &[&str]) -> Vec<String> {
    let keys = |v: &Value| v.as_object().into_iter().flat_map(|o| o.keys().cloned()).collect::<Vec<_>>();
    let mut all = [keys(old), keys(new)].concat();
    all.sort();
    all.dedup();
    all.retain(|k| !but.contains(&k.as_str()) && old.get(k) != new.get(k));
    all
}
