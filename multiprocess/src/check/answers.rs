//! Checks that each request gets exactly one response and that the response is correct.
use super::verdict::Verdict;
use super::violation::Violation;
use crate::history::{History, Outcome, Request};
use std::collections::{BTreeMap, HashSet};

pub(super) fn check(history: &History, verdict: &mut Verdict) {
    verdict.violations.extend(find_repeated_writes(history));
    verdict.violations.extend(find_incorrect_responses(history));
    verdict.violations.extend(find_unexpected_responses(history));
}

fn find_repeated_writes(history: &History) -> impl Iterator<Item = Violation> {
    let mut runs: BTreeMap<u64, usize> = BTreeMap::new();
    for statement in history.statements.iter().filter(|statement| statement.write) {
        *runs.entry(statement.id).or_default() += 1;
    }
    let repeated = runs.into_iter().filter(|(_, times)| *times > 1);
    repeated.map(|(id, times)| Violation::WriteRepeated { id, times })
}

/// Finds requests whose response is missing or incorrect.
fn find_incorrect_responses(history: &History) -> impl Iterator<Item = Violation> {
    let ran: HashSet<u64> = history.statements.iter().map(|statement| statement.id).collect();
    history.requests.iter().filter_map(move |request| {
        let Request { id, router, outcome, .. } = *request;
        let ran = ran.contains(&id);
        match outcome {
            Outcome::Served if !ran => Some(Violation::ServedNotExecuted { id }),
            Outcome::Rejected if request.write && ran => Some(Violation::RejectedWriteExecuted { id }),
            Outcome::Lost | Outcome::Unanswered if !router_was_down(history, request) => {
                Some(Violation::NoResponse { id, router, outcome })
            }
            _ => None,
        }
    })
}

/// Whether the request's router was down at any time while the request was in flight.
fn router_was_down(history: &History, request: &Request) -> bool {
    let mut outages = history.outages.iter().filter(|outage| outage.router == request.router);
    outages.any(|outage| outage.from <= request.ended && request.due <= outage.until)
}

fn find_unexpected_responses(history: &History) -> impl Iterator<Item = Violation> {
    let mut by_router: BTreeMap<usize, usize> = BTreeMap::new();
    for response in &history.unexpected_responses {
        *by_router.entry(response.router).or_default() += 1;
    }
    by_router.into_iter().map(|(router, responses)| Violation::UnexpectedResponses { router, responses })
}
