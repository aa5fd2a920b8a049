//! Retries, and the time within which an attempt must start.
mod common;
use common::{DEDUPLICATED, MS, TestRouter, is_failed, is_rejected, sent_attempts, settings};
use decision::{Action, Idempotency, LaggingReplica, MemberId, Outcome, Settings};

#[test]
fn non_idempotent_write_that_may_have_run_fails() {
    let mut router = TestRouter::ready(settings(Idempotency::NotIdempotent));
    let (write, _) = router.request(0, None);
    let actions = router.end_attempt(write, 0, MemberId(0), Outcome::Reset);
    assert!(is_failed(&actions, write) && sent_attempts(&actions).is_empty());
}

#[test]
fn write_that_never_ran_waits_for_new_primary() {
    let mut router = TestRouter::ready(settings(Idempotency::NotIdempotent));
    let (write, _) = router.request(0, None);
    let actions = router.end_attempt(write, 0, MemberId(0), Outcome::ConnectFailed);
    assert!(
        sent_attempts(&actions).is_empty() && !is_failed(&actions, write) && !is_rejected(&actions, write)
    );
    router.now += 20 * MS;
    assert_eq!(sent_attempts(&router.probe_ended(1, true, 0)), [(write, MemberId(1))]);
}

#[test]
fn deduplicated_write_is_not_retried_after_window() {
    let mut router = TestRouter::ready(settings(Idempotency::DeduplicatedInGroup(100 * MS)));
    let (write, _) = router.request(0, None);
    router.now += 150 * MS;
    let actions = router.end_attempt(write, 0, MemberId(0), Outcome::Reset);
    let later = router.probe_ended(1, true, 0);
    assert!(sent_attempts(&actions).is_empty() && sent_attempts(&later).is_empty());
    assert!(is_failed(&actions, write) && !is_rejected(&actions, write));
}

/// The times within which the attempts must start.
fn start_timeouts(actions: &[Action]) -> Vec<i64> {
    let pick = |action: &Action| match action {
        Action::Send { start_timeout, .. } => Some(*start_timeout),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

#[test]
fn retry_must_start_within_deduplication_window() {
    let mut router = TestRouter::ready(settings(Idempotency::DeduplicatedInGroup(100 * MS)));
    let (write, actions) = router.request(0, None);
    assert_eq!(
        start_timeouts(&actions),
        [1200 * MS],
        "a first attempt must be allowed to start until the client's deadline"
    );
    router.now += 60 * MS;
    let again = router.end_attempt(write, 0, MemberId(0), Outcome::Reset);
    // The deduplication window minus the time reserved for sending the request.
    assert_eq!((sent_attempts(&again), start_timeouts(&again)), (vec![(write, MemberId(0))], vec![35 * MS]));
    // The connection was established too late, so the attempt never ran, and the window has expired.
    router.now += 35 * MS;
    let actions = router.end_attempt(write, 1, MemberId(0), Outcome::NeverSent);
    assert!(sent_attempts(&actions).is_empty() && is_failed(&actions, write));
}

#[test]
fn bounded_read_must_start_while_replica_is_proven_fresh() {
    // The replicas lag by 250 ms; the class permits 300 ms.
    let mut router = TestRouter::with_lagging_replicas(settings(DEDUPLICATED), [250, 250]);
    let (read, actions) = router.request(3, None);
    let first = sent_attempts(&actions)[0].1;
    assert_ne!(first, MemberId(0));
    assert_eq!(start_timeouts(&actions), [50 * MS]);
    // The connection was established too late. The other replica is no fresher, but the primary is always
    // fresh.
    router.now += 60 * MS;
    let actions = router.end_attempt(read, 0, first, Outcome::NeverSent);
    assert_eq!(
        (sent_attempts(&actions), start_timeouts(&actions)),
        (vec![(read, MemberId(0))], vec![340 * MS])
    );
    // If members check their own position, the attempt needs no such limit.
    let checking = Settings { lagging_replica: LaggingReplica::Rejects, ..settings(DEDUPLICATED) };
    let mut router = TestRouter::with_lagging_replicas(checking, [250, 250]);
    let (_, actions) = router.request(3, None);
    assert_eq!(start_timeouts(&actions), [400 * MS]);
}
