//! Tests of the observer with request histories that violate each invariant or none, and of the permits for
//! retries.
use decision::{Idempotency, Outcome, RequestId, Time};
use routing::observer::{AttemptEnd, Ending, Invariant, MAX_TRACKED, Observer, Transition, Violation};
use routing::permit::{RepeatRule, RepeatState};

const SECOND: i64 = 1_000_000;
const IDEMPOTENT: usize = 0;
const UNSAFE: usize = 1;
const WINDOW: usize = 2;
const REQUEST: RequestId = RequestId(7);

fn rules() -> Vec<RepeatRule> {
    let rule = |idempotency| RepeatRule { idempotency, hedging_allowed: false };
    vec![
        rule(Idempotency::Idempotent),
        rule(Idempotency::NotIdempotent),
        rule(Idempotency::DeduplicatedInGroup(SECOND)),
    ]
}

/// Returns the invariants that a history of one request violates. The request's deadline is 2 s.
fn violations(class: usize, history: &[(i64, Transition)]) -> Vec<Invariant> {
    let mut observer = Observer::new(rules(), SECOND / 4);
    let mut found: Vec<Violation> = Vec::new();
    let accepted = Transition::Accepted { class, deadline: Time(2 * SECOND) };
    observer.observe(Time(0), REQUEST, accepted, &mut found);
    for (at, transition) in history {
        observer.find_forgotten(Time(*at), &mut found);
        observer.observe(Time(*at), REQUEST, *transition, &mut found);
    }
    found.into_iter().map(|violation| violation.invariant).collect()
}

fn dispatched(attempt: u32) -> Transition {
    Transition::AttemptDispatched { attempt, deadline: Time(2 * SECOND) }
}

fn ended(attempt: u32, permitted_at: i64, outcome: Outcome) -> Transition {
    let permitted_at = Some(Time(permitted_at));
    Transition::AttemptEnded(AttemptEnd {
        attempt,
        permitted_at,
        sent: true,
        endpoint_out_of_service_since: None,
        outcome,
    })
}

#[test]
fn valid_histories_violate_no_invariant() {
    let served = [
        (0, dispatched(0)),
        (SECOND, ended(0, 10, Outcome::Ok)),
        (SECOND, Transition::Ended(Ending::Served)),
    ];
    let retried = [
        (0, dispatched(0)),
        (SECOND / 2, ended(0, 10, Outcome::Reset)),
        (SECOND / 2, dispatched(1)),
        (SECOND, ended(1, SECOND / 2 + 10, Outcome::Ok)),
        (SECOND, Transition::Ended(Ending::Served)),
    ];
    let client_disconnected = [
        (0, dispatched(0)),
        (SECOND / 2, Transition::Ended(Ending::ClientDisconnected)),
        (3 * SECOND, ended(0, 10, Outcome::TimedOut)),
    ];
    for class in [IDEMPOTENT, UNSAFE, WINDOW] {
        assert_eq!(violations(class, &served), []);
        assert_eq!(violations(class, &client_disconnected), []);
    }
    assert_eq!(violations(IDEMPOTENT, &retried), []);
    assert_eq!(violations(WINDOW, &retried), []);
}

#[test]
fn each_violation_reports_its_invariant() {
    let end = Transition::Ended;
    let twice = [(SECOND, end(Ending::Rejected)), (SECOND, end(Ending::Failed))];
    // An attempt is in flight, so the request is still tracked when it ends a second time.
    let twice = [[(0, dispatched(0))].as_slice(), &twice].concat();
    assert_eq!(violations(IDEMPOTENT, &twice), [Invariant::OneFinalResponse]);
    assert_eq!(
        violations(IDEMPOTENT, &[(2 * SECOND + SECOND / 2 + 1, end(Ending::Failed))]),
        [Invariant::ResponseInTime]
    );
    assert_eq!(
        violations(IDEMPOTENT, &[(3 * SECOND + 1, end(Ending::ClientDisconnected))]),
        [Invariant::RequestForgotten]
    );
    let late_start = [
        (0, dispatched(0)),
        (SECOND, end(Ending::ClientDisconnected)),
        (2 * SECOND, ended(0, SECOND + SECOND / 10 + 1, Outcome::Reset)),
    ];
    assert_eq!(violations(IDEMPOTENT, &late_start), [Invariant::StartAfterEnd]);
    let repeated = [
        (0, dispatched(0)),
        (SECOND / 2, ended(0, 10, Outcome::Reset)),
        (SECOND / 2, dispatched(1)),
        (SECOND, ended(1, SECOND / 2, Outcome::Ok)),
    ];
    assert_eq!(violations(UNSAFE, &repeated), [Invariant::UnsafeRepeat]);
    let after_window = [
        (0, dispatched(0)),
        (SECOND / 2, ended(0, 10, Outcome::TimedOut)),
        (SECOND / 2, dispatched(1)),
        (2 * SECOND, ended(1, SECOND + 150_011, Outcome::Ok)),
    ];
    assert_eq!(violations(WINDOW, &after_window), [Invariant::RepeatWindow]);
    assert_eq!(
        violations(IDEMPOTENT, &[(0, dispatched(0)), (1, dispatched(1))]),
        [Invariant::OneAttemptInFlight]
    );
    let rejected =
        [(0, dispatched(0)), (SECOND, ended(0, 10, Outcome::TimedOut)), (SECOND, end(Ending::Rejected))];
    assert_eq!(violations(UNSAFE, &rejected), [Invariant::HarmlessRejection]);
    assert_eq!(violations(WINDOW, &rejected), [Invariant::HarmlessRejection]);
    assert_eq!(violations(IDEMPOTENT, &rejected), []);
    let drained = Transition::AttemptEnded(AttemptEnd {
        attempt: 0,
        permitted_at: Some(Time(SECOND)),
        sent: true,
        endpoint_out_of_service_since: Some(Time(SECOND - SECOND / 4 - 1)),
        outcome: Outcome::Ok,
    });
    assert_eq!(violations(IDEMPOTENT, &[(0, dispatched(0)), (SECOND, drained)]), [Invariant::Drain]);
    let late_deadline = Transition::AttemptDispatched { attempt: 0, deadline: Time(2 * SECOND + 150_001) };
    assert_eq!(violations(IDEMPOTENT, &[(0, late_deadline)]), [Invariant::ServerDeadline]);
}

#[test]
fn unsent_attempts_do_not_count_as_repeats() {
    let unsent = |attempt, outcome| {
        Transition::AttemptEnded(AttemptEnd {
            attempt,
            permitted_at: Some(Time(10)),
            sent: false,
            endpoint_out_of_service_since: None,
            outcome,
        })
    };
    let history = [
        (0, dispatched(0)),
        (1, unsent(0, Outcome::ConnectFailed)),
        (1, dispatched(1)),
        (2, unsent(1, Outcome::NeverSent)),
        (2, dispatched(2)),
        (SECOND, ended(2, 20, Outcome::Rejected)),
        (SECOND, Transition::Ended(Ending::Rejected)),
    ];
    assert_eq!(violations(UNSAFE, &history), []);
}

#[test]
fn tracked_requests_are_bounded_and_removed_at_their_end() {
    let mut observer = Observer::new(rules(), 0);
    let mut found = Vec::new();
    let accepted = Transition::Accepted { class: IDEMPOTENT, deadline: Time(SECOND) };
    for id in 0..MAX_TRACKED as u64 + 5 {
        observer.observe(Time(0), RequestId(id), accepted, &mut found);
    }
    assert_eq!((observer.tracked(), observer.untracked()), (MAX_TRACKED, 5));
    for id in 0..MAX_TRACKED as u64 + 5 {
        observer.observe(Time(1), RequestId(id), Transition::Ended(Ending::Rejected), &mut found);
    }
    assert_eq!(observer.tracked(), 0);
    observer.find_forgotten(Time(100 * SECOND), &mut found);
    assert_eq!(found, []);
}

#[test]
fn permit_attempt_follows_idempotency_of_class() {
    let [idempotent, not_idempotent, window] = rules().try_into().unwrap();
    let after = |outcome| {
        let mut state = RepeatState::default();
        assert_eq!(state.permit_attempt(Time(0), not_idempotent), Ok(None));
        assert!(
            state.permit_attempt(Time(0), not_idempotent).is_err(),
            "a second attempt must be denied while one is in flight"
        );
        state.attempt_ended(Some(Time(10)), outcome);
        state
    };
    for outcome in [Outcome::Rejected, Outcome::ConnectFailed, Outcome::NeverSent, Outcome::NotEligible] {
        assert_eq!(after(outcome).permit_attempt(Time(SECOND), not_idempotent), Ok(None), "{outcome:?}");
    }
    for outcome in [Outcome::Error, Outcome::TimedOut, Outcome::Reset, Outcome::Cancelled] {
        assert!(after(outcome).permit_attempt(Time(SECOND), not_idempotent).is_err(), "{outcome:?}");
        assert_eq!(after(outcome).permit_attempt(Time(5 * SECOND), idempotent), Ok(None));
        assert_eq!(after(outcome).permit_attempt(Time(SECOND), window), Ok(Some(Time(SECOND + 10))));
        assert!(after(outcome).permit_attempt(Time(SECOND + 11), window).is_err());
    }
}
