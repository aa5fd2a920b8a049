//! Oracles on `serve`: sessions, writes that must not run twice, the store.
use super::{Breach, Promise, seconds};
use crate::history::History;
use std::collections::HashSet;

pub(super) fn check(history: &History) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for read in history.session_reads.iter().filter(|read| read.seen < read.told) {
        let text = format!(
            "session {} was told of {} and a read sent at {} showed {}",
            read.session,
            read.told,
            seconds(read.at),
            read.seen
        );
        breaches.push(Breach { promise: Promise::SessionStale, text });
    }
    for (session, numbers) in &history.writes_run {
        let mut seen = HashSet::new();
        if let Some(twice) = numbers.iter().find(|number| !seen.insert(**number)) {
            let text = format!("write {twice} of session {session} ran twice");
            breaches.push(Breach { promise: Promise::RanTwice, text });
        }
    }
    if let Some(store) = &history.store {
        if !store.came_back {
            let text = "the store took no change again after the last trouble".to_string();
            breaches.push(Breach { promise: Promise::StoreLost, text });
        } else if store.found < Some(store.confirmed) && store.confirmed > 0 {
            let text = format!("{} was confirmed, and the store holds {:?}", store.confirmed, store.found);
            breaches.push(Breach { promise: Promise::StoreLost, text });
        }
    }
    breaches
}
