//! Oracles on `serve`: session reads, writes that must not run twice, and the store.
use super::promise::{Breach, Promise};
use super::spans::seconds;
use crate::history::{History, SessionRead, SessionWrites, StoreRecord};
use std::collections::HashSet;

pub(super) fn check(history: &History) -> Vec<Breach> {
    let mut breaches: Vec<Breach> = history.session_reads.iter().filter_map(check_read).collect();
    breaches.extend(history.session_writes.iter().filter_map(check_writes));
    breaches.extend(history.store.as_ref().and_then(check_store));
    breaches
}

fn check_read(read: &SessionRead) -> Option<Breach> {
    if read.observed >= read.confirmed {
        return None;
    }
    let text = format!(
        "session {}: write {} was confirmed, but a read sent at {} returned write {}",
        read.session,
        read.confirmed,
        seconds(read.at),
        read.observed
    );
    Some(Breach::new(Promise::SessionStale, text))
}

fn check_writes(writes: &SessionWrites) -> Option<Breach> {
    let mut distinct = HashSet::new();
    let repeated = writes.numbers.iter().find(|number| !distinct.insert(**number))?;
    let text = format!("write {repeated} of session {} ran twice", writes.session);
    Some(Breach::new(Promise::RanTwice, text))
}

fn check_store(store: &StoreRecord) -> Option<Breach> {
    let StoreRecord { confirmed, found, recovered } = *store;
    if !recovered {
        return Some(Breach::new(Promise::StoreLost, "the store accepted no change after the last trouble"));
    }
    let is_lost = found < Some(confirmed) && confirmed > 0;
    let text = || format!("change {confirmed} was confirmed, but the store returned {found:?}");
    is_lost.then(|| Breach::new(Promise::StoreLost, text()))
}
