//! What the observer costs: the transitions of one request with an attempt and a retry, with and without it.
//! `cargo bench -p routing`
use decision::{Idempotency, Outcome, RequestId, Time};
use routing::observer::{AttemptEnd, Ending, Observer, Transition};
use routing::permit::{RepeatRule, RepeatState};
use std::hint::black_box;
use std::time::Instant;

const REQUESTS: u64 = 1_000_000;
/// Requests that are open at a time.
const OPEN: u64 = 256;

/// The permits of one request, and its transitions where there is an observer.
fn request(id: u64, rule: RepeatRule, observer: &mut Option<Observer>) {
    let (now, request) = (Time(id as i64), RequestId(id));
    let mut found = Vec::new();
    let mut observe = |transition| {
        if let Some(observer) = observer {
            observer.observe(now, request, transition, &mut found);
        }
    };
    observe(Transition::Accepted { class: 0, deadline: Time(now.0 + 1_000_000) });
    let mut repeats = RepeatState::default();
    for (attempt, outcome) in [(0, Outcome::Reset), (1, Outcome::Ok)] {
        _ = black_box(repeats.permit_attempt(now, rule));
        observe(Transition::AttemptDispatched { attempt, deadline: Time(now.0 + 1_000_000) });
        repeats.attempt_ended(Some(now), outcome);
        observe(Transition::AttemptEnded(AttemptEnd {
            attempt,
            permitted_at: Some(now),
            sent: true,
            endpoint_left_at: None,
            outcome,
        }));
    }
    observe(Transition::Ended(Ending::Served));
    black_box(found);
}

fn run(with_observer: bool) -> f64 {
    let rule = RepeatRule { idempotency: Idempotency::Idempotent, hedging_allowed: false };
    let mut observer = with_observer.then(|| Observer::new(vec![rule], 250_000));
    // As many as are open at a time in a router under load.
    if let Some(observer) = &mut observer {
        for id in 0..OPEN {
            let open = Transition::Accepted { class: 0, deadline: Time(i64::MAX / 2) };
            observer.observe(Time(0), RequestId(u64::MAX - id), open, &mut Vec::new());
        }
    }
    let begun = Instant::now();
    (0..REQUESTS).for_each(|id| request(id, rule, &mut observer));
    begun.elapsed().as_nanos() as f64 / REQUESTS as f64
}

fn main() {
    for round in 1..=3 {
        let (without, with) = (run(false), run(true));
        println!("round {round}: {without:.0} ns a request without the observer, {with:.0} ns with it");
    }
}
