//! Tests of the cancellation of exchanges on real loopback sockets.
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
    let server_socket = Handshake::connect(permit, addr, &limits).unwrap().finish().unwrap();
    (server_socket, listener.accept().unwrap().0)
}

/// Returns whether the guard permits writing the first byte.
fn permits_start(guard: &AttemptGuard) -> bool {
    guard.permit_write().is_ok()
}

/// Returns whether the socket is open and has no unread data.
fn is_open_without_unread_data(socket: &TcpStream) -> bool {
    peek(socket).is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
}

#[test]
fn cancel_shuts_socket_down_only_between_start_and_detach() {
    let (server_socket, remote_socket) = connected_pair();
    // An attempt is cancelled before the first byte: the connection stays usable for another exchange.
    let guard = AttemptGuard::default();
    guard.attach_socket(server_socket.clone());
    guard.cancel(Denial::AttemptTimedOut);
    assert!(
        !permits_start(&guard)
            && server_socket.is_idle_and_open()
            && is_open_without_unread_data(&remote_socket)
    );
    // An attempt is cancelled after the response: the connection may already be running another exchange.
    let guard = AttemptGuard::default();
    guard.attach_socket(server_socket.clone());
    assert!(permits_start(&guard));
    guard.detach_socket();
    guard.cancel(Denial::AttemptTimedOut);
    assert!(server_socket.is_idle_and_open() && is_open_without_unread_data(&remote_socket));
    // Cancelled between the first byte and the response.
    let guard = AttemptGuard::default();
    guard.attach_socket(server_socket.clone());
    assert!(permits_start(&guard));
    guard.cancel(Denial::AttemptTimedOut);
    assert_eq!((&remote_socket).read(&mut [0]).unwrap(), 0);
    assert!(!permits_start(&guard));
}

#[test]
fn detach_drops_the_broken_connection() {
    let (server_socket, remote_socket) = connected_pair();
    let guard = AttemptGuard::default();
    guard.attach_socket(server_socket.clone());
    assert!(permits_start(&guard));
    drop(server_socket);
    guard.detach_socket();
    // The socket is closed when its last owner drops it, not only when the next connection is opened.
    assert_eq!((&remote_socket).read(&mut [0]).unwrap(), 0);
}

#[test]
fn cancel_if_unstarted_forbids_only_later_starts() {
    let (server_socket, remote_socket) = connected_pair();
    let guard = AttemptGuard::default();
    guard.attach_socket(server_socket.clone());
    assert!(permits_start(&guard));
    guard.cancel_if_unstarted(Denial::ClientDisconnected);
    assert!(
        server_socket.is_idle_and_open() && is_open_without_unread_data(&remote_socket),
        "cancel_if_unstarted shut down a started exchange"
    );
    guard.detach_socket();
    assert!(guard.check_start().is_err() && !permits_start(&guard));
}

#[test]
fn start_requires_endpoint_in_service_and_latest_start_not_passed() {
    let state = EndpointState::default();
    let guard = AttemptGuard::new(state.clone());
    assert!(guard.check_start().is_ok() && permits_start(&guard));
    assert!(
        state.set_in_service(false) && !state.set_in_service(false),
        "only the first call must return true"
    );
    assert!(guard.check_start().is_err() && !permits_start(&guard), "a repeated write must be denied too");
    assert!(state.set_in_service(true) && permits_start(&guard));
    state.retire();
    assert!(!permits_start(&guard) && !state.accepts_exchanges());
    let now = Instant::now();
    let in_service = EndpointState::default;
    assert!(!permits_start(&AttemptGuard::for_attempt(in_service(), now - Duration::from_millis(1), None)));
    assert!(permits_start(&AttemptGuard::for_attempt(in_service(), now + Duration::from_mins(1), None)));
}
