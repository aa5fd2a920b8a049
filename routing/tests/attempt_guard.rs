//! How exchanges are cancelled, on real loopback sockets.
use routing::socket::peek;
use routing::{AttemptGuard, EndpointState};
use std::io::{ErrorKind, Read};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

fn connected_pair() -> (Arc<TcpStream>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let near = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (Arc::new(near), listener.accept().unwrap().0)
}

/// Nothing has arrived, and nothing has ended.
fn is_open_and_silent(socket: &TcpStream) -> bool {
    peek(socket).is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
}

#[test]
fn cancel_shuts_socket_down_only_between_start_and_detach() {
    let (near, far) = connected_pair();
    // Before its first byte: the connection can carry another exchange.
    let guard = AttemptGuard::default();
    guard.attach_socket(near.clone());
    guard.cancel();
    assert!(!guard.try_start() && is_open_and_silent(&near) && is_open_and_silent(&far));
    // After its response: the connection carries another exchange by now.
    let guard = AttemptGuard::default();
    guard.attach_socket(near.clone());
    assert!(guard.try_start());
    guard.detach_socket();
    guard.cancel();
    assert!(is_open_and_silent(&near) && is_open_and_silent(&far));
    // In between.
    let guard = AttemptGuard::default();
    guard.attach_socket(near.clone());
    assert!(guard.try_start());
    guard.cancel();
    assert_eq!((&far).read(&mut [0]).unwrap(), 0);
    assert!(!guard.try_start());
}

#[test]
fn detach_drops_the_broken_connection() {
    let (near, far) = connected_pair();
    let guard = AttemptGuard::default();
    guard.attach_socket(near.clone());
    assert!(guard.try_start());
    drop(near);
    guard.detach_socket();
    // Closed with its last owner, not when the next connection is up.
    assert_eq!((&far).read(&mut [0]).unwrap(), 0);
}

#[test]
fn cancel_if_unstarted_spares_a_started_exchange_and_forbids_its_restart() {
    let (near, far) = connected_pair();
    let guard = AttemptGuard::default();
    guard.attach_socket(near.clone());
    assert!(guard.try_start());
    guard.cancel_if_unstarted();
    assert!(is_open_and_silent(&near) && is_open_and_silent(&far), "a started exchange goes on");
    guard.detach_socket();
    assert!(!guard.can_start() && !guard.try_start());
}

#[test]
fn start_needs_an_endpoint_in_service_and_time_left() {
    let state = EndpointState::default();
    let guard = AttemptGuard::new(state.clone());
    assert!(guard.can_start() && guard.try_start());
    assert!(state.set_in_service(false) && !state.set_in_service(false), "a change only once");
    assert!(!guard.can_start() && !guard.try_start(), "also if it is written anew");
    assert!(state.set_in_service(true) && guard.try_start());
    state.retire();
    assert!(!guard.try_start() && !state.accepts_exchanges());
    let now = Instant::now();
    let in_service = EndpointState::default;
    assert!(!AttemptGuard::for_attempt(in_service(), now - Duration::from_millis(1), None).try_start());
    assert!(AttemptGuard::for_attempt(in_service(), now + Duration::from_secs(60), None).try_start());
}
