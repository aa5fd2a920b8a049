//! Tests of the causes that cancel an attempt before its first byte: drain, removal, the client, the
//! deadline, and the end of the deduplication window.
use crate::script::{
    Core, DEDUPLICATED, IDEMPOTENT, Pause, PauseControl, SHORT, SubmittedRequest, WINDOW, draining, endpoint,
};
use decision::Outcome;
use routing::FinalResponse;
use std::time::{Duration, Instant};
use testkit::routing::addr;

/// Submits a request that uses an idle connection, and makes that connection fail before the last byte is
/// written. `event` is applied before the failure.
fn fail_connection_after(event: impl FnOnce(&mut Core, &SubmittedRequest)) -> (Core, SubmittedRequest) {
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
    let (core, request) = fail_connection_after(|_, _| ());
    assert_eq!(request.served_by(), addr(1));
    assert_eq!(core.script.with(addr(1), |e| (e.connects, e.written)), (2, 2));
}

#[test]
fn drain_prevents_retransmission_on_new_connection() {
    let (core, request) =
        fail_connection_after(|core, _| core.list(&[draining(endpoint("a", 1, 0)), endpoint("b", 2, 0)]));
    assert_eq!(request.served_by(), addr(2));
    assert_eq!(
        core.script.with(addr(1), |e| (e.connects, e.written)),
        (1, 1),
        "a draining endpoint received a new attempt"
    );
}

#[test]
fn removal_or_address_change_prevents_retransmission_on_new_connection() {
    for listed in [endpoint("b", 2, 0), endpoint("a", 2, 0)] {
        let (core, request) = fail_connection_after(|core, _| core.list(&[listed]));
        assert_eq!(request.served_by(), addr(2));
        assert_eq!(core.script.with(addr(1), |e| (e.connects, e.written)), (1, 1));
    }
}

#[test]
fn disconnect_or_cancel_prevents_retransmission_on_new_connection() {
    for cancels in [false, true] {
        let (core, request) = fail_connection_after(|core, request| {
            if cancels {
                core.handle.cancel(request.id);
            } else {
                core.handle.client_disconnected(request.id);
            }
            core.barrier();
        });
        request.wait_until_finished();
        assert_eq!(core.script.with(addr(1), |e| (e.connects, e.written)), (1, 1));
    }
}

#[test]
fn disconnect_or_cancel_stops_attempt_that_is_connecting() {
    for cancels in [false, true] {
        let mut core = Core::start(|_| ());
        core.list(&[endpoint("a", 1, 0)]);
        core.script.pause(addr(1), Pause::Connect);
        let request = core.submit(0, IDEMPOTENT);
        core.script.wait_for(addr(1), Pause::Connect, 1);
        if cancels {
            core.handle.cancel(request.id);
            // The final response is sent immediately, whether or not the connection opens.
            assert!(matches!(request.final_response(), FinalResponse::Cancelled));
            assert_eq!(core.metrics.classes[IDEMPOTENT].failed.get(), 1);
        } else {
            core.handle.client_disconnected(request.id);
        }
        core.barrier();
        assert_eq!(core.metrics.requests_in_progress.get(), 0);
        core.script.resume(addr(1), Pause::Connect);
        request.wait_until_finished();
        assert_eq!(
            core.script.with(addr(1), |e| (e.cancelled, e.written)),
            (1, 0),
            "an attempt started after its client had disconnected"
        );
        // The connection that opened after the cancellation is retained for the next request.
        assert_eq!(core.submit(0, IDEMPOTENT).served_by(), addr(1));
        assert_eq!(core.script.with(addr(1), |e| e.connects), 1);
    }
}

#[test]
fn cancelled_request_gets_one_final_response() {
    let mut core = Core::start(|_| ());
    // The first request is cancelled while it waits for its group to be listed.
    let waiting = core.submit(0, IDEMPOTENT);
    core.handle.cancel(waiting.id);
    assert!(matches!(waiting.final_response(), FinalResponse::Cancelled));
    waiting.wait_until_finished();
    // The second request is cancelled after its attempt has started.
    core.list(&[endpoint("a", 1, 0)]);
    core.script.pause(addr(1), Pause::Response);
    let started = core.submit(0, IDEMPOTENT);
    core.script.wait_until(addr(1), |e| e.written == 1);
    core.handle.cancel(started.id);
    assert!(matches!(started.final_response(), FinalResponse::Cancelled));
    core.script.resume(addr(1), Pause::Response);
    started.wait_until_finished();
    assert!(started.response.try_recv().is_err(), "the request received a second response");
    // The third request is cancelled after its final response.
    let served = core.submit(0, IDEMPOTENT);
    served.wait_until_finished();
    core.handle.cancel(served.id);
    core.barrier();
    assert_eq!((served.served_by(), served.response.try_recv().is_err()), (addr(1), true));
    let class = &core.metrics.classes[IDEMPOTENT];
    assert_eq!((class.failed.get(), class.served.get(), core.metrics.requests_in_progress.get()), (2, 1, 0));
}

#[test]
fn deadline_stops_attempt_that_is_connecting() {
    let mut core = Core::start(|_| ());
    core.list(&[endpoint("a", 1, 0)]);
    core.script.pause(addr(1), Pause::Connect);
    let request = core.submit_within(0, SHORT, 1_000_000);
    core.script.wait_for(addr(1), Pause::Connect, 1);
    let response = request.final_response();
    assert!(!matches!(response, FinalResponse::Served(..)), "{response:?}");
    core.script.resume(addr(1), Pause::Connect);
    request.wait_until_finished();
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
    // Two connections are opening: for the probe that follows a reset, and for the retry.
    core.script.wait_for(addr(1), Pause::Connect, 2);
    // The sleep does not synchronise threads: the deduplication window has to end in real time.
    std::thread::sleep(WINDOW.saturating_sub(started.elapsed()) + Duration::from_millis(5));
    core.script.resume(addr(1), Pause::Connect);
    let response = request.final_response();
    assert!(
        matches!(response, FinalResponse::Failed(_)),
        "the first attempt may have run, so the request must fail: {response:?}"
    );
    request.wait_until_finished();
    assert_eq!(core.script.written(addr(1)), 2, "a retry was sent after the deduplication window");
}
