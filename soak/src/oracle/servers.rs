//! Oracles on servers: drains, slow start and data age.
use super::promise::{Breach, Promise};
use super::spans::{SCHEDULING_SLACK, absences_of, paused_time, seconds};
use crate::class::{Class, MAX_DATA_AGE};
use crate::environment::servers::CAPACITY;
use crate::history::{AbsenceReason, Attempt, History, Outcome, Request, ServerStart, Withdrawal};
use crate::platform::settings::{COLD_CAPACITY, COLD_MS, DRAIN_GRACE, OVERLOAD_FACTOR, OVERLOAD_WINDOW};
use crate::time::{MILLISECOND, Micros, SECOND};
use std::collections::HashMap;

/// How soon after becoming ready a new router process must know the changes of its discovery agent.
const MAX_NOTIFICATION_TIME: Micros = 1_000_000;
/// The delay after which a router is assumed to know a replication position.
const POSITION_DELAY: Micros = 100_000;
/// The delay between a server's start and its entry in the endpoint list.
const LISTING_DELAY: Micros = 200_000;
/// How long after a server's start its request budget is checked.
const WARM_UP_TIME: Micros = COLD_MS as Micros * MILLISECOND;
/// Below this many requests per window, random variation is larger and the budget has a wider tolerance.
const FEW_REQUESTS: f64 = 30.0;

pub(super) fn check(history: &History) -> Vec<Breach> {
    let mut breaches: Vec<Breach> =
        history.withdrawals.iter().flat_map(|w| check_drain(history, w)).collect();
    breaches.extend(history.server_starts.iter().filter_map(|start| check_slow_start(history, start)));
    breaches.extend(check_ages(history));
    breaches
}

/// Returns the latest time at which a router was notified of a withdrawal.
fn notified_at(history: &History, withdrawal: &Withdrawal, router: usize) -> Micros {
    let mut notified_at = withdrawal.notified_at;
    // Each discovery outage and each absence of the router's process may delay the notification.
    loop {
        let outages = history.discovery_outages.iter().filter(|outage| outage.router == router);
        let after_outage =
            outages.filter(|o| o.from <= notified_at && notified_at < o.to).map(|o| o.to).max();
        let absences = absences_of(history, router).filter(|a| a.reason != AbsenceReason::Paused);
        let after_absence = absences
            .filter(|a| a.from <= notified_at && notified_at < a.to)
            .map(|a| a.end_with_slack(MAX_NOTIFICATION_TIME))
            .max();
        match after_outage.max(after_absence) {
            Some(later) if later > notified_at => notified_at = later,
            _ => return notified_at,
        }
    }
}

fn check_drain(history: &History, withdrawal: &Withdrawal) -> Vec<Breach> {
    let is_concerned = |attempt: &&Attempt| {
        attempt.server == withdrawal.server
            && withdrawal.router.is_none_or(|router| router == attempt.router)
            && attempt.first_byte_at > withdrawal.notified_at
            && attempt.first_byte_at < withdrawal.until
    };
    let attempts = history.attempts.iter().filter(is_concerned);
    attempts.filter_map(|attempt| check_drained_attempt(history, withdrawal, attempt)).collect()
}

fn check_drained_attempt(history: &History, withdrawal: &Withdrawal, attempt: &Attempt) -> Option<Breach> {
    let at = attempt.first_byte_at;
    // A process that restarts may learn of the withdrawal later.
    let notified_at = notified_at(history, withdrawal, attempt.router);
    let paused = paused_time(history, attempt.router, notified_at, at);
    if at <= notified_at.saturating_add(DRAIN_GRACE + SCHEDULING_SLACK + paused) {
        return None;
    }
    let text = format!(
        "router {} sent request {:x} to server {} at {}, {} after the router was notified of the withdrawal",
        attempt.router,
        attempt.id,
        attempt.server,
        seconds(at),
        seconds(at - notified_at)
    );
    Some(Breach::new(Promise::Drain, text))
}

/// Returns how many requests of average cost a server may receive within a window before it counts as
/// overloaded, at the given time after the server's start.
fn request_budget(age: Micros) -> f64 {
    let share = COLD_CAPACITY + (1.0 - COLD_CAPACITY) * (age as f64 / WARM_UP_TIME as f64).min(1.0);
    let calls = OVERLOAD_FACTOR * share * CAPACITY * OVERLOAD_WINDOW as f64 / SECOND as f64;
    if calls < FEW_REQUESTS { calls + 3.0 * calls.sqrt() + 3.0 } else { calls + 2.0 * calls.sqrt() + 2.0 }
}

/// Returns a breach for the first window after a start in which the server received more requests than its
/// budget.
fn check_slow_start(history: &History, start: &ServerStart) -> Option<Breach> {
    let times = attempt_times_during_warm_up(history, start);
    times.iter().enumerate().find_map(|(first, from)| {
        let count = times[first..].iter().take_while(|at| **at < from + OVERLOAD_WINDOW).count();
        let allowed = request_budget(from - start.at);
        if count as f64 <= allowed {
            return None;
        }
        let text = format!(
            "server {}, started at {}, received {count} requests in the window from {} on; \
             {allowed:.0} are allowed",
            start.server,
            seconds(start.at),
            seconds(*from)
        );
        Some(Breach::new(Promise::SlowStart, text))
    })
}

/// Returns the arrival times, in order, of the attempts at a server that was warming up. Only attempts of
/// routers that had been notified of the start count.
fn attempt_times_during_warm_up(history: &History, start: &ServerStart) -> Vec<Micros> {
    let (listed_at, warm_at) = (start.at + LISTING_DELAY + SCHEDULING_SLACK, start.at + WARM_UP_TIME);
    let is_notified = |attempt: &&Attempt| {
        let outages = history.discovery_outages.iter().filter(|outage| outage.router == attempt.router);
        let mut missed_outages = outages.filter(|o| o.from <= listed_at && attempt.first_byte_at < o.to);
        missed_outages.next().is_none()
    };
    let of_server = history.attempts.iter().filter(|attempt| attempt.server == start.server);
    let cold = of_server.filter(|attempt| (listed_at..warm_at).contains(&attempt.first_byte_at));
    let mut times: Vec<Micros> = cold.filter(is_notified).map(|attempt| attempt.first_byte_at).collect();
    times.sort_unstable();
    times
}

fn check_ages(history: &History) -> Vec<Breach> {
    let by_value: HashMap<String, &Attempt> = history
        .attempts
        .iter()
        .enumerate()
        .map(|(index, attempt)| (format!("{:x}.{}.{index}", attempt.id, attempt.server), attempt))
        .collect();
    let age_of = |request: &Request| {
        let Outcome::Served(value) = &request.outcome else { return None };
        check_age(request, by_value.get(value)?)
    };
    history.requests.iter().filter_map(age_of).collect()
}

/// Checks the age of the data in a response.
fn check_age(request: &Request, attempt: &Attempt) -> Option<Breach> {
    let required = required_position(request, attempt)?;
    if attempt.position >= required || attempt.was_primary {
        return None;
    }
    let text = format!(
        "request {:x} ({:?}), sent by router {} at {}, got data from server {} that was {} too old",
        request.id,
        request.class,
        request.router,
        seconds(attempt.last_byte_at),
        attempt.server,
        seconds(required - attempt.position)
    );
    Some(Breach::new(Promise::Stale, text))
}

/// Returns the replication position that a read has to see at least.
fn required_position(request: &Request, attempt: &Attempt) -> Option<Micros> {
    match request.class {
        Class::Bounded => Some(attempt.last_byte_at - MAX_DATA_AGE - POSITION_DELAY - SCHEDULING_SLACK),
        Class::Session => request.required_commit,
        _ => None,
    }
}
