//! What cancels an attempt before its first byte: a drain, a removal, its client, its deadline, its deduplication window.
use crate::script::{
    Core, DEDUPLICATED, IDEMPOTENT, Pause, Pauses, SHORT, Submitted, WINDOW, draining, endpoint,
};
use decision::Outcome;
use routing::FinalResponse;
use std::time::{Duration, Instant};
use testkit::routing::addr;

/// One request is written on an idle connection, which breaks before the last byte, after `event`.
fn break_connection_after(event: impl FnOnce(&mut Core, &Submitted)) -> (Core, Submitted) {
    let mut core = Core::start(|_| ());
    core.list(&[endpoint("a", 1, 0)]);
    assert_eq!(core.submit(0, IDEMPOTENT).served_by(), addr(1));
    core.script.pause(addr(1), Pause::Write);
    core.script.with(addr(1), |e| e.write_failures = 1);
    let request = core.submit(0, IDEMPOTENT);
    core.script.wait_for(addr(1), Pause::Write, 1);
    event(&mut core, &request);
    core.script.resume(addr(1), Pause::Write);
    (core, request)
}

#[test]
fn broken_idle_connection_resends_request_on_new_connection() {
    let (core, request) = break_connection_after(|_, _| ());
    assert_eq!(request.served_by(), addr(1));
    assert_eq!(core.script.with(addr(1), |e| (e.connects, e.written)), (2, 2));
}

#[test]
fn drain_binds_attempt_on_second_connection() {
    let (core, request) =
        break_connection_after(|core, _| core.list(&[draining(endpoint("a", 1, 0)), endpoint("b", 2, 0)]));
    assert_eq!(request.served_by(), addr(2));
    assert_eq!(
        core.script.with(addr(1), |e| (e.connects, e.written)),
        (1, 1),
        "a new attempt at a draining endpoint"
    );
}

#[test]
fn removal_or_move_binds_attempt_on_second_connection() {
    for listed in [endpoint("b", 2, 0), endpoint("a", 2, 0)] {
        let (core, request) = break_connection_after(|core, _| core.list(&[listed]));
        assert_eq!(request.served_by(), addr(2));
        assert_eq!(core.script.with(addr(1), |e| (e.connects, e.written)), (1, 1));
    }
}

#[test]
fn disconnect_or_cancel_binds_attempt_on_second_connection() {
    for cancels in [false, true] {
        let (core, request) = break_connection_after(|core, request| {
            if cancels {
                core.handle.cancel(request.id);
            } else {
                core.handle.client_disconnected(request.id);
            }
            core.barrier();
        });
        request.wait_until_over();
        assert_eq!(core.script.with(addr(1), |e| (e.connects, e.written)), (1, 1));
    }
}

#[test]
fn disconnect_or_cancel_reaches_connecting_attempt() {
    for cancels in [false, true] {
        let mut core = Core::start(|_| ());
        core.list(&[endpoint("a", 1, 0)]);
        core.script.pause(addr(1), Pause::Connect);
        let request = core.submit(0, IDEMPOTENT);
        core.script.wait_for(addr(1), Pause::Connect, 1);
        if cancels {
            core.handle.cancel(request.id);
            // At once, whatever becomes of the connection.
            assert!(matches!(request.final_response(), FinalResponse::Cancelled));
            assert_eq!(core.metrics.classes[IDEMPOTENT].failed.get(), 1);
        } else {
            core.handle.client_disconnected(request.id);
        }
        core.barrier();
        assert_eq!(core.metrics.requests_in_progress.get(), 0);
        core.script.resume(addr(1), Pause::Connect);
        request.wait_until_over();
        assert_eq!(
            core.script.with(addr(1), |e| (e.cancelled, e.written)),
            (1, 0),
            "it started after its client had left"
        );
        // The connection that was made late is kept for the next request.
        assert_eq!(core.submit(0, IDEMPOTENT).served_by(), addr(1));
        assert_eq!(core.script.with(addr(1), |e| e.connects), 1);
    }
}

#[test]
fn cancelled_request_gets_one_final_response() {
    let mut core = Core::start(|_| ());
    // While it waits for its group.
    let waiting = core.submit(0, IDEMPOTENT);
    core.handle.cancel(waiting.id);
    assert!(matches!(waiting.final_response(), FinalResponse::Cancelled));
    waiting.wait_until_over();
    // After its attempt has started.
    core.list(&[endpoint("a", 1, 0)]);
    core.script.pause(addr(1), Pause::Response);
    let started = core.submit(0, IDEMPOTENT);
    core.script.wait_until(addr(1), |e| e.written == 1);
    core.handle.cancel(started.id);
    assert!(matches!(started.final_response(), FinalResponse::Cancelled));
    core.script.resume(addr(1), Pause::Response);
    started.wait_until_over();
    assert!(started.response.try_recv().is_err(), "a second response");
    // After its final response.
    let served = core.submit(0, IDEMPOTENT);
    served.wait_until_over();
    core.handle.cancel(served.id);
    core.barrier();
    assert_eq!((served.served_by(), served.response.try_recv().is_err()), (addr(1), true));
    let class = &core.metrics.classes[IDEMPOTENT];
    assert_eq!((class.failed.get(), class.served.get(), core.metrics.requests_in_progress.get()), (2, 1, 0));
}

#[test]
fn deadline_reaches_connecting_attempt() {
    let mut core = Core::start(|_| ());
    core.list(&[endpoint("a", 1, 0)]);
    core.script.pause(addr(1), Pause::Connect);
    let request = core.submit_within(0, SHORT, 1_000_000);
    core.script.wait_for(addr(1), Pause::Connect, 1);
    let response = request.final_response();
    assert!(!matches!(response, FinalResponse::Served(..)), "{response:?}");
    core.script.resume(addr(1), Pause::Connect);
    request.wait_until_over();
    assert_eq!(core.script.written(addr(1)), 0);
}

#[test]
fn retry_does_not_start_after_deduplication_window() {
    let mut core = Core::start(|_| ());
    core.list(&[endpoint("a", 1, 0)]);
    assert_eq!(core.submit(0, IDEMPOTENT).served_by(), addr(1));
    core.script.with(addr(1), |e| e.outcomes = [Outcome::Reset].into());
    core.script.pause(addr(1), Pause::Response);
    let request = core.submit(0, DEDUPLICATED);
    core.script.wait_for(addr(1), Pause::Response, 1);
    let started = Instant::now();
    core.script.with(addr(1), |e| e.closes_idle = true);
    core.script.pause(addr(1), Pause::Connect);
    core.script.resume(addr(1), Pause::Response);
    // The probe that follows a reset, and the retry.
    core.script.wait_for(addr(1), Pause::Connect, 2);
    // Not a wait for another thread: the test needs time to pass.
    std::thread::sleep(WINDOW.saturating_sub(started.elapsed()) + Duration::from_millis(5));
    core.script.resume(addr(1), Pause::Connect);
    let response = request.final_response();
    assert!(matches!(response, FinalResponse::Failed(_)), "the first may have run: {response:?}");
    request.wait_until_over();
    assert_eq!(core.script.written(addr(1)), 2, "a copy arrived after the deduplication window");
}
