//! The idle timeout and the limit on open connections.
use super::support::{
    TEST_TIMEOUT, TestServer, assert_closed_without_reset, respond, test_limits, wait_until_readable,
};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

#[test]
fn request_in_socket_at_idle_timeout_is_read() {
    let mut limits = test_limits();
    limits.client_idle_timeout = Duration::ZERO;
    let (server, connections) = TestServer::start_controlled(limits);
    let mut client = server.connect();
    let (connection, _release) = connections.recv_timeout(TEST_TIMEOUT).unwrap();
    assert!(connection.begin_command(false));
    connection.finish_command();
    client.write_all(b"request").unwrap();
    wait_until_readable(&connection);
    // The request arrives before the reader checks the timeout, which has already passed.
    assert!(!connection.close_if_idle_timed_out());
    let mut buffer = [0; 16];
    assert_eq!(connection.command_reader(false).read(&mut buffer).unwrap(), 7);
    assert!(connection.begin_command(false));
    connection.finish_command();
    assert!(
        connection.close_if_idle_timed_out(),
        "not closed although the idle timeout passed and no command arrived"
    );
    assert_closed_without_reset(&client);
}

#[test]
fn connection_limit_evicts_closing_and_idle_connections_only() {
    let mut limits = test_limits();
    limits.max_client_connections = 1;
    limits.client_startup_timeout_when_full = Duration::ZERO;
    let (server, connections) = TestServer::start_controlled(limits);
    // The server lingers on this connection, because the client does not close it.
    let lingering = server.connect();
    let (connection, release) = connections.recv_timeout(TEST_TIMEOUT).unwrap();
    drop((connection, release));
    assert_closed_without_reset(&lingering);
    let idle = server.connect();
    let (connection, release) =
        connections.recv_timeout(TEST_TIMEOUT).expect("the lingering connection was not evicted");
    let mut next = server.connect();
    assert_closed_without_reset(&idle);
    assert!(!connection.begin_command(false), "command accepted after the close");
    drop((connection, release));
    let (connection, _release) =
        connections.recv_timeout(TEST_TIMEOUT).expect("the idle connection was not evicted");
    next.write_all(b"request").unwrap();
    wait_until_readable(&connection);
    // A connection with a command in flight is not evicted, however many connect.
    let _more: Vec<TcpStream> = (0..3).map(|_| server.connect()).collect();
    assert!(connection.begin_command(false));
    respond(&connection, b"one");
    let mut received = [0; 3];
    next.read_exact(&mut received).unwrap();
}
