//! The oracles: each reads the history and names what broke one promise, with ids and times.
mod processes;
mod promise;
mod requests;
mod serve;
mod servers;
mod spans;

pub use promise::{Breach, Promise};
pub use spans::SLACK;

use crate::history::History;
use std::collections::BTreeSet;

/// Everything that the history breaks.
pub fn check(history: &History) -> Vec<Breach> {
    let mut breaches = requests::check(history);
    breaches.extend(servers::check(history));
    breaches.extend(processes::check(history));
    breaches.extend(serve::check(history));
    breaches
}

/// Which promises were broken.
pub fn promises(breaches: &[Breach]) -> BTreeSet<Promise> {
    breaches.iter().map(|breach| breach.promise).collect()
}
