//! The oracles: checks of a run's history that report each broken promise with ids and times.
mod processes;
mod promise;
mod requests;
mod serve;
mod servers;
mod spans;

pub use promise::{Breach, Promise};
pub use spans::SCHEDULING_SLACK;

use crate::history::History;
use std::collections::BTreeSet;

/// Returns every breach in a history.
pub fn check(history: &History) -> Vec<Breach> {
    let mut breaches = requests::check(history);
    breaches.extend(servers::check(history));
    breaches.extend(processes::check(history));
    breaches.extend(serve::check(history));
    breaches
}

/// Returns the promises that the breaches broke.
pub fn promises(breaches: &[Breach]) -> BTreeSet<Promise> {
    breaches.iter().map(|breach| breach.promise).collect()
}
