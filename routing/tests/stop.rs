//! How work is stopped, on real loopback sockets.
use routing::stop::{Service, Stop};
use routing::wire::peek;
use std::io::{ErrorKind, Read};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

fn pair() -> (Arc<TcpStream>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let near = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (Arc::new(near), listener.accept().unwrap().0)
}

/// Nothing has come, and nothing has ended.
fn stands(socket: &TcpStream) -> bool {
    peek(socket).is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
}

#[test]
fn a_connection_is_shut_only_while_its_work_is_under_way() {
    let (near, far) = pair();
    // Before its first byte: the connection is good for other work.
    let stop = Stop::default();
    stop.hold(near.clone());
    stop.stop();
    assert!(!stop.begin() && stands(&near) && stands(&far));
    // After its answer: it carries other work by now.
    let stop = Stop::default();
    stop.hold(near.clone());
    assert!(stop.begin());
    stop.release();
    stop.stop();
    assert!(stands(&near) && stands(&far));
    // In between.
    let stop = Stop::default();
    stop.hold(near.clone());
    assert!(stop.begin());
    stop.stop();
    assert_eq!((&far).read(&mut [0]).unwrap(), 0);
    assert!(!stop.begin());
}

#[test]
fn a_stop_lets_go_of_the_connection_that_broke() {
    let (near, far) = pair();
    let stop = Stop::default();
    stop.hold(near.clone());
    assert!(stop.begin());
    drop(near);
    stop.release();
    // Closed with its last holder, not when the next connection is up.
    assert_eq!((&far).read(&mut [0]).unwrap(), 0);
}

#[test]
fn what_was_withdrawn_while_it_went_out_does_not_begin_anew() {
    let (near, far) = pair();
    let stop = Stop::default();
    stop.hold(near.clone());
    assert!(stop.begin());
    stop.withdraw();
    assert!(stands(&near) && stands(&far), "what has begun goes on");
    stop.release();
    assert!(!stop.may_begin() && !stop.begin());
}

#[test]
fn work_begins_while_its_instance_is_in_service_and_its_time_is_not_over() {
    let service = Service::default();
    let stop = Stop::new(service.clone());
    assert!(stop.may_begin() && stop.begin());
    assert!(service.set(false) && !service.set(false), "news but once");
    assert!(!stop.may_begin() && !stop.begin(), "also if it is written anew");
    assert!(service.set(true) && stop.begin());
    service.forget();
    assert!(!stop.begin() && !service.takes_work());
    let now = Instant::now();
    assert!(!Stop::attempt(Service::default(), now - Duration::from_millis(1), None).begin());
    assert!(Stop::attempt(Service::default(), now + Duration::from_secs(60), None).begin());
}
