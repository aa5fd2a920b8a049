//! Tests of connections between exchanges: connection slots, changed addresses and idle time.
use crate::script::{Core, IDEMPOTENT, Pause, PauseControl, endpoint};
use routing::FinalResponse;
use std::time::{Duration, Instant};
use testkit::routing::{TIMEOUT, addr};

#[test]
fn panicking_protocol_ends_attempt_and_frees_connection_slot() {
    let mut core = Core::start(|limits| limits.max_connections_per_backend = 1);
    core.list(&[endpoint("a", 1, 0)]);
    core.script.with(addr(1), |e| e.panics = 1);
    let started = Instant::now();
    // The panicking request may have run, so it may fail or be retried. Further requests may also fail until
    // the connection slot is released.
    _ = core.submit(0, IDEMPOTENT).final_response();
    while !matches!(core.submit(0, IDEMPOTENT).final_response(), FinalResponse::Served(..)) {
        assert!(started.elapsed() < TIMEOUT, "the connection slot was not released");
    }
}

#[test]
fn connect_failure_at_old_address_does_not_count_at_new_one() {
    let mut core = Core::start(|_| ());
    core.list(&[endpoint("a", 1, 0)]);
    assert_eq!(core.submit(0, IDEMPOTENT).served_by(), addr(1));
    core.script.with(addr(1), |e| (e.closes_idle, e.unreachable) = (true, true));
    core.script.pause(addr(1), Pause::Connect);
    let request = core.submit(0, IDEMPOTENT);
    core.script.wait_for(addr(1), Pause::Connect, 1);
    core.list(&[endpoint("a", 2, 0)]);
    core.script.resume(addr(1), Pause::Connect);
    assert_eq!(request.served_by(), addr(2));
    assert_eq!(core.script.with(addr(2), |e| e.probes), 0, "the endpoint at the new address was probed");
}

#[test]
fn cancelled_attempt_does_not_reset_connection_idle_time() {
    let mut core = Core::start(|_| ());
    core.list(&[endpoint("a", 1, 0)]);
    assert_eq!(core.submit(0, IDEMPOTENT).served_by(), addr(1));
    let responded = Instant::now();
    core.script.pause(addr(1), Pause::Start);
    let request = core.submit(0, IDEMPOTENT);
    core.script.wait_for(addr(1), Pause::Start, 1);
    core.handle.client_disconnected(request.id);
    core.barrier();
    // The sleep does not synchronise threads: the connection has to be idle for some real time.
    std::thread::sleep(Duration::from_millis(100));
    let idle_for = responded.elapsed();
    core.script.resume(addr(1), Pause::Start);
    request.wait_until_finished();
    assert_eq!(core.submit(0, IDEMPOTENT).served_by(), addr(1));
    assert_eq!(core.script.with(addr(1), |e| (e.connects, e.idle_for >= idle_for)), (1, true));
}

#[test]
fn member_missing_from_complete_list_serves_if_settings_allow() {
    let mut core = Core::start_with(|_| (), |settings| settings.missing_members_may_serve = true);
    core.list(&[endpoint("a", 1, 0), endpoint("b", 2, 1)]);
    assert_eq!(core.submit(0, IDEMPOTENT).served_by(), addr(1));
    core.list(&[endpoint("b", 2, 1)]);
    assert_eq!(
        core.submit(0, IDEMPOTENT).served_by(),
        addr(1),
        "a member missing from the list must still serve"
    );
}

#[test]
fn member_missing_from_complete_list_gets_no_requests_by_default() {
    let mut core = Core::start(|_| ());
    core.list(&[endpoint("a", 1, 0), endpoint("b", 2, 1)]);
    assert_eq!(core.submit(0, IDEMPOTENT).served_by(), addr(1));
    core.list(&[endpoint("b", 2, 1)]);
    let written = core.script.written(addr(1));
    let rejected = core.submit_within(0, IDEMPOTENT, 200_000).final_response();
    assert!(matches!(rejected, FinalResponse::Rejected(_)), "{rejected:?}");
    assert_eq!(core.script.written(addr(1)), written);
}
