//! Requests in flight on a connection when its client disconnects, in any order of the two.
use client_listener::in_flight_requests::InFlightRequests;
use routing::RequestId;
use std::sync::{Barrier, Mutex};

#[test]
fn disconnect_cancels_each_request_once_and_none_follows() {
    let requests = InFlightRequests::default();
    for n in 1..=3 {
        assert_eq!(requests.begin(|| RequestId(n)), Some(RequestId(n)));
    }
    assert_eq!(requests.oldest(), Some(RequestId(1)));
    assert!(requests.finish(RequestId(1)));
    assert!(!requests.finish(RequestId(1)));
    assert_eq!(requests.oldest(), Some(RequestId(2)));
    let mut cancelled = Vec::new();
    assert_eq!(requests.disconnect(|id| cancelled.push(id)), Some(2));
    assert_eq!(cancelled, [RequestId(2), RequestId(3)]);
    assert!(requests.is_disconnected());
    assert_eq!(requests.disconnect(|id| cancelled.push(id)), None);
    assert!(!requests.finish(RequestId(2)), "the disconnect has removed the request");
    assert_eq!(requests.begin(|| unreachable!("submitted after the disconnect")), None);
    assert_eq!(requests.oldest(), None);
}

#[test]
fn request_racing_disconnect_is_cancelled_or_never_submitted() {
    for n in 0..2000 {
        let requests = InFlightRequests::default();
        let barrier = Barrier::new(2);
        let calls = Mutex::new(Vec::new());
        std::thread::scope(|scope| {
            scope.spawn(|| {
                barrier.wait();
                requests.begin(|| {
                    calls.lock().unwrap().push("submitted");
                    RequestId(n)
                });
            });
            barrier.wait();
            requests.disconnect(|_| calls.lock().unwrap().push("cancelled"));
        });
        let calls = calls.into_inner().unwrap();
        assert!(calls.is_empty() || calls == ["submitted", "cancelled"], "{calls:?}");
    }
}
