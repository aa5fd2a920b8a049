//! Tests of the oracles: a valid history has no breach, and each modification of it is reported under the
//! promise that it breaks.
mod records;

use records::{attempt, request};
use soak::class::Class;
use soak::history::{
    Absence, AbsenceReason, Attempt, DiscoveryOutage, History, InvariantViolations, Outcome, RouterFailure,
    Sample, ServerStart, SessionRead, SessionWrites, Stall, StoreRecord, UnexpectedResponse, Withdrawal,
};
use soak::oracle::{Promise, check};
use soak::time::{Micros, SECOND};

/// Returns a valid history: a request that was served in 50 ms, and its attempt.
fn history() -> History {
    History {
        requests: vec![request(1)],
        attempts: vec![attempt(1, 0)],
        load_ended_at: 30 * SECOND,
        ..History::default()
    }
}

/// Returns the promises broken by a modification of the valid history.
fn broken_promises(change: impl FnOnce(&mut History)) -> Vec<Promise> {
    let mut history = history();
    change(&mut history);
    let mut found: Vec<Promise> = check(&history).into_iter().map(|breach| breach.promise).collect();
    found.dedup();
    found
}

fn absence(reason: AbsenceReason, from: i64, to: i64) -> Absence {
    Absence { router: 0, reason, from, to }
}

#[test]
fn valid_history_has_no_breach() {
    assert_eq!(broken_promises(|_| ()), []);
}

#[test]
fn request_without_response_is_lost() {
    let pending = |h: &mut History| h.requests[0].outcome = Outcome::Pending;
    let closed = |h: &mut History| (h.requests[0].outcome, h.attempts) = (Outcome::Closed, Vec::new());
    assert_eq!(broken_promises(pending), [Promise::Lost]);
    assert_eq!(broken_promises(closed), [Promise::Lost]);
    // The router process was killed while the request was pending.
    let killed = |h: &mut History| {
        closed(h);
        h.absences.push(absence(AbsenceReason::Killed, 10 * SECOND + 20_000, 11 * SECOND));
    };
    assert_eq!(broken_promises(killed), []);
    // The router closed an idle connection while the request was on its way; the client retries at another
    // router.
    let crossed = |h: &mut History| {
        closed(h);
        h.requests[0].sequence = 3;
    };
    assert_eq!(broken_promises(crossed), []);
    // A close is a breach if a server has received the request.
    let forwarded = |h: &mut History| (h.requests[0].outcome, h.requests[0].sequence) = (Outcome::Closed, 3);
    assert_eq!(broken_promises(forwarded), [Promise::Lost]);
    // Late in a shutdown, a router may close connections; clients retry at another router.
    let ending = |h: &mut History| {
        closed(h);
        h.absences.push(absence(AbsenceReason::ShutDown, 9 * SECOND, 12 * SECOND));
    };
    assert_eq!(broken_promises(ending), []);
    // Early in a shutdown, clients have to be served, even if the process exits when the connection closes.
    let closed_early = |h: &mut History| {
        closed(h);
        h.absences.push(absence(AbsenceReason::ShutDown, 10 * SECOND - 100_000, 10 * SECOND + 60_000));
    };
    assert_eq!(broken_promises(closed_early), [Promise::Lost]);
}

/// Guards against an oracle that reports a request as lost, or misses a drained server, because the end of an absence
/// that still lasts plus a tolerance is before its start.
#[test]
fn absence_that_lasts_to_the_end_excuses_what_a_long_one_does() {
    for to in [20 * SECOND, Micros::MAX] {
        let closed_late_in_a_shutdown = |h: &mut History| {
            (h.requests[0].outcome, h.attempts) = (Outcome::Closed, Vec::new());
            h.absences.push(absence(AbsenceReason::ShutDown, 9 * SECOND, to));
        };
        assert_eq!(broken_promises(closed_late_in_a_shutdown), [], "{to}");
        let withdrawn_while_the_process_was_gone = |h: &mut History| {
            let (notified_at, until) = (5 * SECOND, 29 * SECOND);
            h.withdrawals.push(Withdrawal { server: 0, router: None, notified_at, until });
            h.absences.push(absence(AbsenceReason::Killed, 4 * SECOND, to));
        };
        assert_eq!(broken_promises(withdrawn_while_the_process_was_gone), [], "{to}");
    }
}

#[test]
fn late_and_mismatched_responses_are_found() {
    assert_eq!(broken_promises(|h| h.requests[0].ended_at = 12 * SECOND), [Promise::Late]);
    let paused = |h: &mut History| {
        h.requests[0].ended_at = 12 * SECOND;
        h.absences.push(absence(AbsenceReason::Paused, 10 * SECOND + 100_000, 11 * SECOND + 900_000));
    };
    assert_eq!(broken_promises(paused), []);
    let unsolicited = UnexpectedResponse::Unsolicited { connection: 1, response: None };
    assert_eq!(
        broken_promises(|h| h.unexpected_responses.push(unsolicited.clone())),
        [Promise::MismatchedResponse]
    );
}

#[test]
fn forbidden_attempts_are_found() {
    let disconnected = |h: &mut History| {
        (h.requests[0].outcome, h.requests[0].ended_at) = (Outcome::Disconnected, 10 * SECOND);
        h.attempts[0].first_byte_at = 10 * SECOND + 210_000;
        h.attempts[0].timeout_ms = 700;
    };
    assert_eq!(broken_promises(disconnected), [Promise::SentAfterDisconnect]);
    let again = |h: &mut History| {
        let mut second = h.attempts[0].clone();
        (second.server, second.first_byte_at) = (1, 10 * SECOND + 20_000);
        h.attempts.push(second);
    };
    assert_eq!(broken_promises(again), [Promise::RanTwice]);
    let outside_window = |h: &mut History| {
        again(h);
        h.requests[0].class = Class::Keyed;
        let late = 11 * SECOND;
        (h.attempts[1].first_byte_at, h.attempts[1].last_byte_at, h.attempts[1].timeout_ms) = (late, late, 1);
    };
    assert_eq!(broken_promises(outside_window), [Promise::RanOutsideWindow]);
    assert_eq!(
        broken_promises(|h| h.requests[0].outcome = Outcome::Error("53300".into())),
        [Promise::RejectedButRan]
    );
    assert_eq!(broken_promises(|h| h.attempts[0].timeout_ms = 1400), [Promise::TimeoutTooLong]);
}

#[test]
fn attempt_at_withdrawn_server_is_found() {
    let withdrawal = Withdrawal { server: 0, router: None, notified_at: 9 * SECOND, until: 20 * SECOND };
    assert_eq!(broken_promises(|h| h.withdrawals.push(withdrawal)), [Promise::Drain]);
    // During a discovery outage the router is not notified.
    let missed_outages = |h: &mut History| {
        h.withdrawals.push(withdrawal);
        h.discovery_outages.push(DiscoveryOutage { router: 0, from: 8 * SECOND, to: 11 * SECOND });
    };
    assert_eq!(broken_promises(missed_outages), []);
    let by_operator = Withdrawal { router: Some(1), ..withdrawal };
    assert_eq!(
        broken_promises(|h| h.withdrawals.push(by_operator)),
        [],
        "a withdrawal at router 1 does not bind router 0"
    );
}

#[test]
fn overload_of_cold_server_is_found() {
    let burst = |count: usize| {
        move |h: &mut History| {
            h.server_starts.push(ServerStart { server: 0, at: 10 * SECOND });
            let template = h.attempts[0].clone();
            for n in 0..count {
                let at = 10 * SECOND + 500_000 + n as i64 * 1000;
                h.attempts.push(Attempt { id: 100 + n as u64, first_byte_at: at, ..template.clone() });
            }
        }
    };
    assert_eq!(broken_promises(burst(30)), []);
    assert_eq!(broken_promises(burst(120)), [Promise::SlowStart]);
}

#[test]
fn stale_read_is_found() {
    let bounded = |h: &mut History| {
        h.requests[0].class = Class::Bounded;
        h.attempts[0].position = 8 * SECOND;
    };
    assert_eq!(broken_promises(bounded), [Promise::Stale]);
    let session = |h: &mut History| {
        (h.requests[0].class, h.requests[0].required_commit) = (Class::Session, Some(10 * SECOND + 1));
    };
    assert_eq!(broken_promises(session), [Promise::Stale]);
    let excused = |h: &mut History| {
        session(h);
        h.attempts[0].was_primary = true;
    };
    assert_eq!(broken_promises(excused), []);
}

#[test]
fn process_exceeding_limits_is_found() {
    let sample = |at, cpu, descriptors| Sample {
        router: 0,
        at,
        descriptors,
        threads: 20,
        resident_kb: 10_000,
        cpu,
        incarnation: 1,
    };
    assert_eq!(broken_promises(|h| h.samples.push(sample(0, 0, 300))), [Promise::Limits]);
    let busy_loops = |h: &mut History| h.samples.extend((0..8).map(|s| sample(s * SECOND, s * SECOND, 20)));
    assert_eq!(broken_promises(busy_loops), [Promise::Cpu]);
    let failure = RouterFailure { router: 0, detail: String::new() };
    assert_eq!(broken_promises(|h| h.crashes.push(failure.clone())), [Promise::Crash]);
    assert_eq!(broken_promises(|h| h.failed_starts.push(failure.clone())), [Promise::Start]);
    let violations = InvariantViolations { router: 0, invariant: "drain".into(), count: 1 };
    assert_eq!(broken_promises(|h| h.invariant_violations.push(violations.clone())), [Promise::Invariant]);
    let stall = Stall { router: 0, from: SECOND, to: 6 * SECOND, closed_by_router: false };
    assert_eq!(broken_promises(|h| h.stalls.push(stall)), [Promise::StalledClientNotClosed]);
}

#[test]
fn lost_confirmed_change_is_found() {
    let read = |confirmed, observed| SessionRead { session: "ann".into(), confirmed, observed, at: SECOND };
    assert_eq!(broken_promises(|h| h.session_reads.push(read(3, 3))), []);
    assert_eq!(broken_promises(|h| h.session_reads.push(read(3, 2))), [Promise::SessionStale]);
    let repeated = SessionWrites { session: "ann".into(), numbers: vec![1, 2, 2] };
    assert_eq!(broken_promises(|h| h.session_writes.push(repeated.clone())), [Promise::RanTwice]);
    let store = |confirmed, found, recovered| Some(StoreRecord { confirmed, found, recovered });
    assert_eq!(broken_promises(|h| h.store = store(5, Some(6), true)), []);
    assert_eq!(broken_promises(|h| h.store = store(5, Some(4), true)), [Promise::StoreLost]);
    assert_eq!(broken_promises(|h| h.store = store(5, None, false)), [Promise::StoreLost]);
}
