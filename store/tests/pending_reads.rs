//! Tests of pending reads without a node: which read index request serves which reader, and whether a read
//! confirms this node's leadership.
use crossbeam_channel::{Receiver, bounded};
use std::time::Duration;
use store::node::ReadResult;
use store::node::reads::PendingReads;
use store::{Rejection, State};

const TIMEOUT: Duration = Duration::from_mins(1);

fn add_reader(reads: &mut PendingReads) -> Receiver<Result<ReadResult, Rejection>> {
    let (responder, receiver) = bounded(1);
    reads.add(responder);
    receiver
}

fn start_request(reads: &mut PendingReads, id: u8, leading_term: Option<u64>) {
    assert!(reads.needs_request());
    reads.start_request(vec![id], leading_term);
}

fn state_at(applied_index: u64) -> State {
    let mut state = State::default();
    state.applied_index = applied_index;
    state
}

#[test]
fn reader_added_after_request_waits_for_next_request() {
    let mut reads = PendingReads::default();
    let early = add_reader(&mut reads);
    start_request(&mut reads, 1, None);
    let late = add_reader(&mut reads);
    assert!(!reads.needs_request());
    reads.confirm(&[1], 5, None);
    reads.respond(&state_at(9), 3);
    assert!(early.try_recv().is_ok() && late.try_recv().is_err());
    start_request(&mut reads, 2, None);
    // A late response to an earlier request confirms nothing.
    reads.confirm(&[1], 6, None);
    assert!(!reads.has_confirmed());
    reads.confirm(&[2], 6, None);
    reads.respond(&state_at(9), 3);
    assert!(late.try_recv().is_ok());
}

#[test]
fn read_completes_once_its_index_is_applied() {
    let mut reads = PendingReads::default();
    let reader = add_reader(&mut reads);
    start_request(&mut reads, 1, None);
    reads.confirm(&[1], 5, None);
    reads.respond(&state_at(4), 3);
    assert!(reader.try_recv().is_err() && reads.has_confirmed());
    reads.respond(&state_at(5), 3);
    let Ok(Ok(result)) = reader.try_recv() else { panic!("the reader got no result") };
    assert_eq!((result.read.state, result.read.term), (state_at(5), 3));
    assert!(!reads.has_confirmed());
}

#[test]
fn read_confirms_leadership_only_within_one_term() {
    let leads = |at_request, at_confirmation, term| {
        let mut reads = PendingReads::default();
        let reader = add_reader(&mut reads);
        start_request(&mut reads, 1, at_request);
        reads.confirm(&[1], 5, at_confirmation);
        reads.respond(&state_at(5), term);
        matches!(reader.try_recv(), Ok(Ok(ReadResult { is_leader: true, .. })))
    };
    assert!(leads(Some(3), Some(3), 3));
    assert!(!leads(None, None, 3));
    assert!(!leads(None, Some(3), 3));
    assert!(!leads(Some(3), None, 3));
    assert!(!leads(Some(3), Some(4), 4));
    assert!(!leads(Some(3), Some(3), 4));
}

#[test]
fn readers_without_a_leader_are_rejected() {
    let mut reads = PendingReads::default();
    let confirmed = add_reader(&mut reads);
    start_request(&mut reads, 1, None);
    reads.confirm(&[1], 5, None);
    let requested = add_reader(&mut reads);
    start_request(&mut reads, 2, None);
    let waiting = add_reader(&mut reads);
    reads.expire(false, TIMEOUT);
    for reader in [&confirmed, &requested, &waiting] {
        assert!(reader.try_recv().is_err());
    }
    reads.expire(true, TIMEOUT);
    for reader in [&confirmed, &requested, &waiting] {
        assert!(matches!(reader.try_recv(), Ok(Err(Rejection::NoQuorum))));
    }
    assert!(!reads.needs_request() && !reads.has_confirmed());
}
