//! Which values of a configuration are in force at a time.
use crate::history::{ConfigVersion, Micros};

/// The values in force at `at`: each from the request for its change until the next one has been committed and
/// `settle_time` has passed.
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
