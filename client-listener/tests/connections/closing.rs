//! Closing a connection: no command is accepted afterwards, no response is lost, and no reset discards one.
use super::support::{
    TEST_TIMEOUT, TestServer, assert_closed_without_reset, test_limits, wait_until, wait_until_dropped,
    wait_until_readable,
};
use client_listener::Connection;
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// A way to close a connection.
type Close = fn(&Connection);

#[test]
fn no_command_is_accepted_after_connection_closes() {
    let mut limits = test_limits();
    limits.client_idle_timeout = Duration::ZERO;
    let close_methods: [(&str, Close); 3] = [
        ("close", Connection::close),
        ("finish", Connection::shut_down_write),
        ("idle timeout", |connection| {
            // The connection has read one command and has finished its response.
            assert!(connection.begin_command(false));
            connection.finish_command();
            assert!(connection.close_if_idle_timed_out());
        }),
    ];
    let (server, connections) = TestServer::start_controlled(limits);
    for (name, close_connection) in close_methods {
        let mut client = server.connect();
        let (connection, _release) = connections.recv_timeout(TEST_TIMEOUT).unwrap();
        if name != "idle timeout" {
            client.write_all(b"request").unwrap();
            wait_until_readable(&connection);
        }
        close_connection(&connection);
        // Linux still returns bytes that arrived before both sides were shut down.
        let mut buffer = [0; 16];
        assert_eq!(
            connection.command_reader(false).read(&mut buffer).unwrap(),
            0,
            "{name}: bytes read after the close"
        );
        assert!(!connection.begin_command(false), "{name}: command accepted after the close");
    }
}

#[test]
fn commands_in_flight_finish_after_close_and_none_follows() {
    let (server, connections) = TestServer::start_controlled(test_limits());
    let mut client = server.connect();
    let (connection, release) = connections.recv_timeout(TEST_TIMEOUT).unwrap();
    assert!(connection.begin_command(false) && connection.begin_command(false));
    connection.shut_down_write();
    assert!(!connection.begin_command(false));
    // Although the sending side is shut down, both commands finish and the connection then closes normally.
    connection.finish_command();
    connection.finish_command();
    drop((connection, release));
    assert_closed_without_reset(&client);
    client.write_all(b"crosses").unwrap();
    assert_closed_without_reset(&client);
}

#[test]
fn response_arrives_complete_despite_unread_bytes_and_late_reader() {
    const RESPONSE_BYTES: usize = 200_000;
    let mut limits = test_limits();
    // The linger timeout passes before the client starts to read.
    limits.client_linger_timeout = Duration::from_millis(50);
    let (server, connections) = TestServer::start_controlled(limits);
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    // With a small receive buffer at the client, most of the response stays in the server's send buffer.
    socket.set_recv_buffer_size(4096).unwrap();
    socket.connect(&server.address.into()).unwrap();
    let mut client = TcpStream::from(socket);
    client.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let (connection, release) = connections.recv_timeout(TEST_TIMEOUT).unwrap();
    SockRef::from(&connection.socket).set_send_buffer_size(RESPONSE_BYTES).unwrap();
    client.write_all(&[b'x'; 10_000]).unwrap();
    wait_until_readable(&connection);
    (&connection.socket).write_all(&[b'a'; RESPONSE_BYTES]).unwrap();
    let weak = Arc::downgrade(&connection);
    drop((connection, release));
    wait_until_dropped(&weak);
    let mut received = Vec::new();
    client.read_to_end(&mut received).expect("no reset before the end of the response");
    assert_eq!(received.len(), RESPONSE_BYTES);
}

#[test]
fn bytes_sent_during_close_cause_no_reset_until_client_closes() {
    let (server, connections) = TestServer::start_controlled(test_limits());
    let mut client = server.connect();
    let (connection, release) = connections.recv_timeout(TEST_TIMEOUT).unwrap();
    client.write_all(b"unread").unwrap();
    wait_until_readable(&connection);
    (&connection.socket).write_all(b"answer").unwrap();
    let weak = Arc::downgrade(&connection);
    drop((connection, release));
    let mut received = [0; 6];
    client.read_exact(&mut received).unwrap();
    assert_eq!(&received, b"answer");
    assert_closed_without_reset(&client);
    client.write_all(b"sent while the close was in flight").unwrap();
    client.shutdown(Shutdown::Write).unwrap();
    wait_until_dropped(&weak);
    assert_closed_without_reset(&client);
}

#[test]
fn linger_is_limited_in_time_and_bytes() {
    // A client that sends nothing: the linger is limited by time.
    let mut limits = test_limits();
    limits.client_linger_timeout = Duration::from_millis(50);
    let (server, connections) = TestServer::start_controlled(limits);
    let client = server.connect();
    let (connection, release) = connections.recv_timeout(TEST_TIMEOUT).unwrap();
    let weak = Arc::downgrade(&connection);
    drop((connection, release));
    wait_until_dropped(&weak);
    assert_closed_without_reset(&client);
    // A client that goes on sending: the linger is limited by bytes.
    let mut limits = test_limits();
    limits.max_client_linger_bytes = 64 << 10;
    let (server, connections) = TestServer::start_controlled(limits);
    let mut client = server.connect();
    let (connection, release) = connections.recv_timeout(TEST_TIMEOUT).unwrap();
    let weak = Arc::downgrade(&connection);
    drop((connection, release));
    wait_until("the connection is closed", || client.write_all(&[0; 4096]).is_err());
    wait_until_dropped(&weak);
}
