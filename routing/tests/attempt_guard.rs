//! How exchanges are cancelled, on real loopback sockets.
use routing::socket::peek;
use routing::{AttemptGuard, Denial, EndpointState, Handshake, ServerSocket};
use settings::Limits;
use settings::limits::{ProcessResources, RequestTimes};
use std::io::{ErrorKind, Read};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

fn connected_pair() -> (ServerSocket, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let permit = AttemptGuard::default().permit_connection().unwrap();
    let (addr, seconds) = (listener.local_addr().unwrap(), Duration::from_secs);
    let limits = Limits::new(
        ProcessResources { descriptors: 256, memory_bytes: 32 << 20 },
        RequestTimes {
            connect_timeout: seconds(20),
            backend_keepalive: seconds(20),
            longest_deadline: seconds(20),
        },
    );
    let near = Handshake::connect(permit, addr, &limits).unwrap().finish().unwrap();
    (near, listener.accept().unwrap().0)
}

/// Whether the first byte is permitted.
fn starts(guard: &AttemptGuard) -> bool {
    guard.permit_write().is_ok()
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
    guard.cancel(Denial::AttemptTimedOut);
    assert!(!starts(&guard) && near.is_idle_and_open() && is_open_and_silent(&far));
    // After its response: the connection carries another exchange by now.
    let guard = AttemptGuard::default();
    guard.attach_socket(near.clone());
    assert!(starts(&guard));
    guard.detach_socket();
    guard.cancel(Denial::AttemptTimedOut);
    assert!(near.is_idle_and_open() && is_open_and_silent(&far));
    // In between.
    let guard = AttemptGuard::default();
    guard.attach_socket(near.clone());
    assert!(starts(&guard));
    guard.cancel(Denial::AttemptTimedOut);
    assert_eq!((&far).read(&mut [0]).unwrap(), 0);
    assert!(!starts(&guard));
}

#[test]
fn detach_drops_the_broken_connection() {
    let (near, far) = connected_pair();
    let guard = AttemptGuard::default();
    guard.attach_socket(near.clone());
    assert!(starts(&guard));
    drop(near);
    guard.detach_socket();
    // Closed with its last owner, not when the next connection is up.
    assert_eq!((&far).read(&mut [0]).unwrap(), 0);
}

#[test]
fn cancel_if_unstarted_forbids_only_later_starts() {
    let (near, far) = connected_pair();
    let guard = AttemptGuard::default();
    guard.attach_socket(near.clone());
    assert!(starts(&guard));
    guard.cancel_if_unstarted(Denial::ClientDisconnected);
    assert!(near.is_idle_and_open() && is_open_and_silent(&far), "a started exchange goes on");
    guard.detach_socket();
    assert!(guard.check_start().is_err() && !starts(&guard));
}

#[test]
fn start_needs_an_endpoint_in_service_and_time_left() {
    let state = EndpointState::default();
    let guard = AttemptGuard::new(state.clone());
    assert!(guard.check_start().is_ok() && starts(&guard));
    assert!(state.set_in_service(false) && !state.set_in_service(false), "a change only once");
    assert!(guard.check_start().is_err() && !starts(&guard), "also if it is written anew");
    assert!(state.set_in_service(true) && starts(&guard));
    state.retire();
    assert!(!starts(&guard) && !state.accepts_exchanges());
    let now = Instant::now();
    let in_service = EndpointState::default;
    assert!(!starts(&AttemptGuard::for_attempt(in_service(), now - Duration::from_millis(1), None)));
    assert!(starts(&AttemptGuard::for_attempt(in_service(), now + Duration::from_mins(1), None)));
}
