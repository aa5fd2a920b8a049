//! Tests of connecting on real loopback sockets.
use routing::socket::{connect, is_self_connection};
use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

#[test]
fn self_connection_is_distinguished_from_one_to_a_listener() {
    let own_socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    own_socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let own_addr = own_socket.local_addr().unwrap();
    // No process listens on this port, so the operating system connects the socket to itself.
    own_socket.connect(&own_addr).unwrap();
    assert!(is_self_connection(&own_socket.into()).unwrap());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let socket = connect(listener.local_addr().unwrap(), Duration::from_secs(5)).unwrap();
    assert!(!is_self_connection(&socket).unwrap());
}
