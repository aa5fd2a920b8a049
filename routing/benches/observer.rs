//! Measures the cost of the observer per request, for the transitions of a request with one retry. Run with
//! `cargo bench -p routing`.
use decision::{Idempotency, Outcome, RequestId, Time};
use routing::observer::{AttemptEnd, Ending, Observer, Transition};
use routing::permit::{RepeatRule, RepeatState};
use std::hint::black_box;
use std::time::Instant;

/// Number of requests per run.
const REQUESTS: u64 = 1_000_000;
/// Number of alternating runs with and without the observer.
const ROUNDS: usize = 3;
/// Time from the start of a request to its deadline, in microseconds.
const DEADLINE: i64 = 1_000_000;
/// Drain grace period of the observer, in microseconds.
const DRAIN_GRACE: i64 = 250_000;
/// Number of other requests that are open during a run.
const OPEN_REQUESTS: u64 = 256;

/// Simulates one request with two attempts, and reports its transitions if there is an observer.
fn simulate_request(id: u64, rule: RepeatRule, observer: &mut Option<Observer>) {
    let (now, request) = (Time(id as i64), RequestId(id));
    let mut violations = Vec::new();
    let mut observe = |transition| {
        if let Some(observer) = observer {
            observer.observe(now, request, transition, &mut violations);
        }
    };
    observe(Transition::Accepted { class: 0, deadline: Time(now.0 + DEADLINE) });
    let mut repeats = RepeatState::default();
    for (attempt, outcome) in [(0, Outcome::Reset), (1, Outcome::Ok)] {
        _ = black_box(repeats.permit_attempt(now, rule));
        observe(Transition::AttemptDispatched { attempt, deadline: Time(now.0 + DEADLINE) });
        repeats.attempt_ended(Some(now), outcome);
        observe(Transition::AttemptEnded(AttemptEnd {
            attempt,
            permitted_at: Some(now),
            sent: true,
            endpoint_out_of_service_since: None,
            outcome,
        }));
    }
    observe(Transition::Ended(Ending::Served));
    black_box(violations);
}

/// Returns the average time per request in nanoseconds.
fn measure(with_observer: bool) -> f64 {
    let rule = RepeatRule { idempotency: Idempotency::Idempotent, hedging_allowed: false };
    let mut observer = with_observer.then(|| Observer::new(vec![rule], DRAIN_GRACE));
    // Open as many requests as a loaded router has at a time.
    if let Some(observer) = &mut observer {
        for id in 0..OPEN_REQUESTS {
            let open = Transition::Accepted { class: 0, deadline: Time(i64::MAX / 2) };
            observer.observe(Time(0), RequestId(u64::MAX - id), open, &mut Vec::new());
        }
    }
    let begin = Instant::now();
    (0..REQUESTS).for_each(|id| simulate_request(id, rule, &mut observer));
    begin.elapsed().as_nanos() as f64 / REQUESTS as f64
}

fn main() {
    for round in 1..=ROUNDS {
        let (without, with) = (measure(false), measure(true));
        println!("round {round}: {without:.0} ns per request without the observer, {with:.0} ns with it");
    }
}
