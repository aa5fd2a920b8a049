//! Finds the versions of a setting that are in force at a given time.
use crate::history::{ConfigVersion, Micros};

/// Returns the values in force at `at`. A value is in force from the time of its change request until the
/// next version has been committed and `settle_time` has passed.
pub(super) fn values_in_force<T>(
    versions: &[ConfigVersion<T>],
    at: Micros,
    settle_time: Micros,
) -> impl Iterator<Item = &T> {
    let superseded =
        move |index: usize| versions.get(index + 1).is_some_and(|next| next.committed + settle_time <= at);
    let in_force =
        move |(index, version): &(usize, &ConfigVersion<T>)| version.requested <= at && !superseded(*index);
    versions.iter().enumerate().filter(in_force).map(|(_, version)| &version.value)
}
