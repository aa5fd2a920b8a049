//! Dials on real loopback sockets.
use routing::wire::{dial, is_own_echo};
use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

#[test]
fn a_connection_to_itself_is_told_from_one_to_a_listener() {
    let own = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    own.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let at = own.local_addr().unwrap();
    // Nobody listens there, and the system lets it meet itself.
    own.connect(&at).unwrap();
    assert!(is_own_echo(&own.into()).unwrap());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let socket = dial(listener.local_addr().unwrap(), Duration::from_secs(5)).unwrap();
    assert!(!is_own_echo(&socket).unwrap());
}
