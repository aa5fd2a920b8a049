//! A connection's requests and its client's leaving, in any order.
use clients::departures::Requests;
use routing::RequestId;
use std::sync::{Barrier, Mutex};

#[test]
fn leaving_is_said_of_each_open_request_once_and_none_follows() {
    let requests = Requests::default();
    for n in 1..=3 {
        assert_eq!(requests.begin(|| RequestId(n)), Some(RequestId(n)));
    }
    assert_eq!(requests.oldest(), Some(RequestId(1)));
    assert!(requests.end(RequestId(1)));
    assert!(!requests.end(RequestId(1)));
    assert_eq!(requests.oldest(), Some(RequestId(2)));
    let mut left = Vec::new();
    assert_eq!(requests.depart(|id| left.push(id)), Some(2));
    assert_eq!(left, [RequestId(2), RequestId(3)]);
    assert!(requests.departed());
    assert_eq!(requests.depart(|id| left.push(id)), None);
    assert!(!requests.end(RequestId(2)), "it has been given up already");
    assert_eq!(requests.begin(|| unreachable!("it must not be handed over")), None);
    assert_eq!(requests.oldest(), None);
}

#[test]
fn a_request_that_crosses_with_its_clients_leaving_is_given_up_or_never_handed_over() {
    for n in 0..2000 {
        let (requests, both) = (Requests::default(), Barrier::new(2));
        let seen = Mutex::new(Vec::new());
        std::thread::scope(|scope| {
            scope.spawn(|| {
                both.wait();
                requests.begin(|| {
                    seen.lock().unwrap().push("submitted");
                    RequestId(n)
                });
            });
            both.wait();
            requests.depart(|_| seen.lock().unwrap().push("left"));
        });
        let seen = seen.into_inner().unwrap();
        assert!(seen.is_empty() || seen == ["submitted", "left"], "{seen:?}");
    }
}
