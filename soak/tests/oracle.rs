//! The oracles have to bite: for each, a history that keeps its promise passes and one that breaks it is refused.
use soak::history::{
    Absence, Absent, Arrival, Class, Ending, History, Request, SECOND, Sample, SessionRead, Stall, Start,
    StoreRecord, Untold, Withdrawn,
};
use soak::oracle::{Promise, check};

/// A request that was served in 50 ms, and its attempt.
fn history() -> History {
    let request = Request {
        id: 1,
        router: 0,
        connection: 1,
        opened_at: 0,
        place: 0,
        class: Class::Write,
        group: 0,
        sent_at: 10 * SECOND,
        wait: SECOND,
        after: None,
        ending: Ending::Served("1.0.0".into()),
        ended_at: 10 * SECOND + 50_000,
        cancelled_at: None,
    };
    let arrival = Arrival {
        id: 1,
        router: 0,
        server: 0,
        first_byte_at: 10 * SECOND + 10_000,
        last_byte_at: 10 * SECOND + 10_000,
        reached_at: Some(10 * SECOND + 10_000),
        told_ms: 985,
        ran_at: Some(10 * SECOND + 30_000),
        position: 10 * SECOND,
        was_primary: false,
    };
    History {
        requests: vec![request],
        arrivals: vec![arrival],
        load_ended_at: 30 * SECOND,
        ..History::default()
    }
}

fn broken(change: impl FnOnce(&mut History)) -> Vec<Promise> {
    let mut history = history();
    change(&mut history);
    let mut found: Vec<Promise> = check(&history).into_iter().map(|breach| breach.promise).collect();
    found.dedup();
    found
}

fn absent(why: Absence, from: i64, to: i64) -> Absent {
    Absent { router: 0, why, from, to }
}

#[test]
fn a_history_that_keeps_every_promise_passes() {
    assert_eq!(broken(|_| ()), []);
}

#[test]
fn requests_without_their_answer_are_lost() {
    let open = |h: &mut History| h.requests[0].ending = Ending::Open;
    let closed = |h: &mut History| (h.requests[0].ending, h.arrivals) = (Ending::Closed, Vec::new());
    assert_eq!(broken(open), [Promise::Lost]);
    assert_eq!(broken(closed), [Promise::Lost]);
    // Its process was killed under it.
    let killed = |h: &mut History| {
        closed(h);
        h.absent.push(absent(Absence::Killed, 10 * SECOND + 20_000, 11 * SECOND));
    };
    assert_eq!(broken(killed), []);
    // A connection that rested, ended as the request was on its way: the client sends it again elsewhere.
    let crossed = |h: &mut History| {
        closed(h);
        h.requests[0].place = 3;
    };
    assert_eq!(broken(crossed), []);
    // But not where a server has seen it.
    let forwarded = |h: &mut History| (h.requests[0].ending, h.requests[0].place) = (Ending::Closed, 3);
    assert_eq!(broken(forwarded), [Promise::Lost]);
    // Late in a shutdown clients send elsewhere what is not answered.
    let ending = |h: &mut History| {
        closed(h);
        h.absent.push(absent(Absence::Ended, 9 * SECOND, 12 * SECOND));
    };
    assert_eq!(broken(ending), []);
    // But early in it they are served as before, also where the process ends with the connection.
    let cut = |h: &mut History| {
        closed(h);
        h.absent.push(absent(Absence::Ended, 10 * SECOND - 100_000, 10 * SECOND + 60_000));
    };
    assert_eq!(broken(cut), [Promise::Lost]);
}

#[test]
fn late_and_foreign_answers_are_found() {
    assert_eq!(broken(|h| h.requests[0].ended_at = 12 * SECOND), [Promise::Late]);
    let paused = |h: &mut History| {
        h.requests[0].ended_at = 12 * SECOND;
        h.absent.push(absent(Absence::Paused, 10 * SECOND + 100_000, 11 * SECOND + 900_000));
    };
    assert_eq!(broken(paused), []);
    assert_eq!(broken(|h| h.unexpected_answers.push("twice".into())), [Promise::ForeignAnswer]);
}

#[test]
fn attempts_that_must_not_be_are_found() {
    let left = |h: &mut History| {
        (h.requests[0].ending, h.requests[0].ended_at) = (Ending::Left, 10 * SECOND);
        h.arrivals[0].first_byte_at = 10 * SECOND + 210_000;
        h.arrivals[0].told_ms = 700;
    };
    assert_eq!(broken(left), [Promise::SentAfterLeaving]);
    let again = |h: &mut History| {
        let mut second = h.arrivals[0].clone();
        (second.server, second.first_byte_at) = (1, 10 * SECOND + 20_000);
        h.arrivals.push(second);
    };
    assert_eq!(broken(again), [Promise::RanTwice]);
    let outside_window = |h: &mut History| {
        again(h);
        h.requests[0].class = Class::Keyed;
        let late = 11 * SECOND;
        (h.arrivals[1].first_byte_at, h.arrivals[1].last_byte_at, h.arrivals[1].told_ms) = (late, late, 1);
    };
    assert_eq!(broken(outside_window), [Promise::RanOutsideWindow]);
    assert_eq!(broken(|h| h.requests[0].ending = Ending::Error("53300".into())), [Promise::RefusedButRan]);
    assert_eq!(broken(|h| h.arrivals[0].told_ms = 1400), [Promise::ToldTooLong]);
}

#[test]
fn withdrawn_servers_must_get_nothing_new() {
    let withdrawn = Withdrawn { server: 0, router: None, told_at: 9 * SECOND, until: 20 * SECOND };
    assert_eq!(broken(|h| h.withdrawn.push(withdrawn)), [Promise::Drain]);
    // Discovery could not tell it.
    let untold = |h: &mut History| {
        h.withdrawn.push(withdrawn);
        h.untold.push(Untold { router: 0, from: 8 * SECOND, to: 11 * SECOND });
    };
    assert_eq!(broken(untold), []);
    let by_hand = Withdrawn { router: Some(1), ..withdrawn };
    assert_eq!(broken(|h| h.withdrawn.push(by_hand)), [], "another router was told");
}

#[test]
fn cold_servers_must_not_be_overloaded() {
    let crowd = |count: usize| {
        move |h: &mut History| {
            h.starts.push(Start { server: 0, at: 10 * SECOND });
            let one = h.arrivals[0].clone();
            for n in 0..count {
                let at = 10 * SECOND + 500_000 + n as i64 * 1000;
                h.arrivals.push(Arrival { id: 100 + n as u64, first_byte_at: at, ..one.clone() });
            }
        }
    };
    assert_eq!(broken(crowd(30)), []);
    assert_eq!(broken(crowd(120)), [Promise::SlowStart]);
}

#[test]
fn reads_must_be_fresh_enough() {
    let bounded = |h: &mut History| {
        h.requests[0].class = Class::Bounded;
        h.arrivals[0].position = 8 * SECOND;
    };
    assert_eq!(broken(bounded), [Promise::Stale]);
    let session = |h: &mut History| {
        (h.requests[0].class, h.requests[0].after) = (Class::Session, Some(10 * SECOND + 1));
    };
    assert_eq!(broken(session), [Promise::Stale]);
    let excused = |h: &mut History| {
        session(h);
        h.arrivals[0].was_primary = true;
    };
    assert_eq!(broken(excused), []);
}

#[test]
fn processes_must_stay_within_their_bounds() {
    let sample = |at, cpu, descriptors| Sample {
        router: 0,
        at,
        descriptors,
        threads: 20,
        resident_kb: 10_000,
        cpu,
        incarnation: 1,
    };
    assert_eq!(broken(|h| h.samples.push(sample(0, 0, 300))), [Promise::Limits]);
    let spins = |h: &mut History| h.samples.extend((0..8).map(|s| sample(s * SECOND, s * SECOND, 20)));
    assert_eq!(broken(spins), [Promise::Cpu]);
    assert_eq!(broken(|h| h.crashes.push("router 0".into())), [Promise::Crash]);
    assert_eq!(broken(|h| h.failed_starts.push("router 0".into())), [Promise::Start]);
    assert_eq!(broken(|h| h.invariant_violations.push((0, "drain".into(), 1))), [Promise::Invariant]);
    let stall = Stall { router: 0, from: SECOND, to: 6 * SECOND, ended: false };
    assert_eq!(broken(|h| h.stalls.push(stall)), [Promise::BadClientHeld]);
}

#[test]
fn sessions_and_the_store_keep_what_was_confirmed() {
    let read = |told, seen| SessionRead { session: "ann".into(), told, seen, at: SECOND };
    assert_eq!(broken(|h| h.session_reads.push(read(3, 3))), []);
    assert_eq!(broken(|h| h.session_reads.push(read(3, 2))), [Promise::SessionStale]);
    assert_eq!(broken(|h| h.writes_run.push(("ann".into(), vec![1, 2, 2]))), [Promise::RanTwice]);
    let store = |confirmed, found, came_back| Some(StoreRecord { confirmed, found, came_back });
    assert_eq!(broken(|h| h.store = store(5, Some(6), true)), []);
    assert_eq!(broken(|h| h.store = store(5, Some(4), true)), [Promise::StoreLost]);
    assert_eq!(broken(|h| h.store = store(5, None, false)), [Promise::StoreLost]);
}
