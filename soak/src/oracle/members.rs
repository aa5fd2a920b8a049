//! Oracles on servers: drains, slow start, the age of data.
use super::{Breach, Promise, SLACK, paused, seconds};
use crate::history::{Absence, Arrival, BOUND, Class, Ending, History, Micros, Request, Withdrawn};
use crate::platform::{COLD_FROM, COLD_MS, DRAIN_GRACE, OVERLOAD_FACTOR, OVERLOAD_WINDOW};
use crate::world::servers::CAPACITY;
use std::collections::HashMap;

/// A new process knows what its agent has by then, counted from when it is ready.
const TOLD_AT_START: Micros = 1_000_000;
/// What an answer tells counts as known this long after it was written.
const KNOWN_AFTER: Micros = 100_000;
/// A start is listed this long after it.
const LIST_LAG: Micros = 200_000;
/// For how long after a start the budget is looked at.
const COLD: Micros = (COLD_MS * 1000.0) as Micros;

pub(super) fn check(history: &History) -> Vec<Breach> {
    let mut breaches = check_drains(history);
    breaches.extend(check_slow_starts(history));
    breaches.extend(check_ages(history));
    breaches
}

/// When at the latest a router has been told of a withdrawal.
fn told_at(history: &History, withdrawn: &Withdrawn, router: usize) -> Micros {
    let mut told = withdrawn.told_at;
    // Each trouble of discovery may put it off, and so may a process that was not there.
    loop {
        let untold = history.untold.iter().filter(|u| u.router == router);
        let put_off = untold.filter(|u| u.from <= told && told < u.to).map(|u| u.to).max();
        let away = history.absent.iter().filter(|a| a.router == router && a.why != Absence::Paused);
        let back = away.filter(|a| a.from <= told && told < a.to).map(|a| a.to + TOLD_AT_START).max();
        match put_off.max(back) {
            Some(later) if later > told => told = later,
            _ => return told,
        }
    }
}

fn check_drains(history: &History) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for withdrawn in &history.withdrawn {
        let concerned = |arrival: &&Arrival| {
            arrival.server == withdrawn.server
                && withdrawn.router.is_none_or(|router| router == arrival.router)
        };
        for arrival in history.arrivals.iter().filter(concerned) {
            let at = arrival.first_byte_at;
            if at <= withdrawn.told_at || at >= withdrawn.until {
                continue;
            }
            // A process that starts anew reads its own state and list first.
            let told = told_at(history, withdrawn, arrival.router);
            let held_up = paused(history, arrival.router, told, at);
            if at > told + DRAIN_GRACE + SLACK + held_up {
                let text = format!(
                    "router {} sent {:x} to server {} at {}, {} after it was told of its withdrawal",
                    arrival.router,
                    arrival.id,
                    arrival.server,
                    seconds(at),
                    seconds(at - told)
                );
                breaches.push(Breach { promise: Promise::Drain, text });
            }
        }
    }
    breaches
}

/// How many calls of mean work a server may get in a window at this age before it falls.
fn budget(age: Micros) -> f64 {
    let share = COLD_FROM + (1.0 - COLD_FROM) * (age as f64 / COLD as f64).min(1.0);
    let calls = OVERLOAD_FACTOR * share * CAPACITY * OVERLOAD_WINDOW as f64 / 1e6;
    if calls < 30.0 { calls + 3.0 * calls.sqrt() + 3.0 } else { calls + 2.0 * calls.sqrt() + 2.0 }
}

fn check_slow_starts(history: &History) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for start in &history.starts {
        let until = start.at + COLD;
        // What was sent by routers that were told of the start counts.
        let told = start.at + LIST_LAG + SLACK;
        let untold = |arrival: &&Arrival| {
            let troubled = history
                .untold
                .iter()
                .any(|u| u.router == arrival.router && u.from <= told && arrival.first_byte_at < u.to);
            !troubled
        };
        let mut at: Vec<Micros> = history
            .arrivals
            .iter()
            .filter(|a| a.server == start.server && (told..until).contains(&a.first_byte_at))
            .filter(untold)
            .map(|a| a.first_byte_at)
            .collect();
        at.sort_unstable();
        for (first, from) in at.iter().enumerate() {
            let count = at[first..].iter().take_while(|t| **t < from + OVERLOAD_WINDOW).count();
            let allowed = budget(from - start.at);
            if count as f64 > allowed {
                let text = format!(
                    "server {} started at {} and got {count} requests within a window from {} on, {allowed:.0} allowed",
                    start.server,
                    seconds(start.at),
                    seconds(*from)
                );
                breaches.push(Breach { promise: Promise::SlowStart, text });
                break;
            }
        }
    }
    breaches
}

fn check_ages(history: &History) -> Vec<Breach> {
    let by_place: HashMap<String, &Arrival> = history
        .arrivals
        .iter()
        .enumerate()
        .map(|(place, arrival)| (format!("{:x}.{}.{place}", arrival.id, arrival.server), arrival))
        .collect();
    let mut breaches = Vec::new();
    for request in &history.requests {
        let Ending::Served(value) = &request.ending else { continue };
        let Some(arrival) = by_place.get(value) else { continue };
        if let Some(needed) = needed(request, arrival)
            && arrival.position < needed
            && !arrival.was_primary
        {
            let text = format!(
                "request {:x} ({:?}), sent by router {} at {}, was answered by server {} from data {} too old",
                request.id,
                request.class,
                request.router,
                seconds(arrival.last_byte_at),
                arrival.server,
                seconds(needed - arrival.position)
            );
            breaches.push(Breach { promise: Promise::Stale, text });
        }
    }
    breaches
}

/// Up to where a read has to see commits.
fn needed(request: &Request, arrival: &Arrival) -> Option<Micros> {
    match request.class {
        Class::Bounded => Some(arrival.last_byte_at - BOUND - KNOWN_AFTER - SLACK),
        Class::Session => request.after,
        _ => None,
    }
}
