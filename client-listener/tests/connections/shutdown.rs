//! Connections at shutdown: commands that were read get their response, later ones are not accepted.
use super::support::{
    ByteCommands, TEST_TIMEOUT, TestServer, assert_closed_without_reset, byte_commands, receiving_side_ended,
    respond, test_limits, wait_until, wait_until_dropped,
};
use client_listener::{Connection, SocketState};
use crossbeam_channel::{bounded, unbounded};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::time::Duration;

#[test]
fn idle_client_sees_close_at_shutdown_and_command_sent_during_close_is_not_accepted() {
    let ByteCommands { server, commands, readers_ended, keep_open } = byte_commands(test_limits());
    let mut client = server.connect();
    client.write_all(b"1").unwrap();
    drop(keep_open);
    let (connection, _) = commands.recv_timeout(TEST_TIMEOUT).unwrap();
    respond(&connection, b"one");
    let mut received = [0; 3];
    client.read_exact(&mut received).unwrap();
    server.shut_down();
    assert_closed_without_reset(&client);
    // The server's own close must not look like a disconnect of the client.
    assert!(!receiving_side_ended(&connection.socket), "the server has shut down its receiving side");
    client.write_all(b"2").unwrap();
    readers_ended.recv_timeout(TEST_TIMEOUT).expect("the reader did not end when bytes arrived");
    assert!(commands.try_recv().is_err(), "command accepted after the close");
    let weak = Arc::downgrade(&connection);
    drop(connection);
    client.shutdown(Shutdown::Write).unwrap();
    wait_until_dropped(&weak);
    assert_closed_without_reset(&client);
    server.wait_until_stopped();
}

#[test]
fn reader_does_not_wait_for_idle_client_after_shutdown() {
    let mut limits = test_limits();
    limits.client_linger_timeout = Duration::from_millis(50);
    let ByteCommands { server, commands, readers_ended, keep_open } = byte_commands(limits);
    let mut client = server.connect();
    client.write_all(b"1").unwrap();
    drop(keep_open);
    respond(&commands.recv_timeout(TEST_TIMEOUT).unwrap().0, b"one");
    server.shut_down();
    readers_ended.recv_timeout(TEST_TIMEOUT).unwrap();
    server.wait_until_stopped();
    let mut received = [0; 3];
    client.read_exact(&mut received).unwrap();
    assert_closed_without_reset(&client);
}

#[test]
fn stop_reading_finishes_commands_in_flight_and_accepts_no_later_ones() {
    let mut limits = test_limits();
    limits.client_linger_timeout = Duration::from_millis(50);
    let ByteCommands { server, commands, readers_ended, keep_open } = byte_commands(limits);
    let mut client = server.connect();
    client.write_all(b"12").unwrap();
    let (connection, _) = commands.recv_timeout(TEST_TIMEOUT).unwrap();
    commands.recv_timeout(TEST_TIMEOUT).unwrap();
    let idle = server.connect();
    server.shut_down();
    wait_until("the policy is to stop reading", || connection.reading_stopped());
    // The idle connection closes and its reader is woken after that. By then the close policy has been
    // applied several times to each connection.
    assert_closed_without_reset(&idle);
    readers_ended.recv_timeout(TEST_TIMEOUT).unwrap();
    assert!(!receiving_side_ended(&connection.socket), "the server has shut down its receiving side");
    // A whole command arrives after the close policy changed.
    client.write_all(b"3").unwrap();
    readers_ended.recv_timeout(TEST_TIMEOUT).unwrap();
    assert!(commands.try_recv().is_err(), "command accepted after the policy changed");
    respond(&connection, b"one");
    respond(&connection, b"two");
    let mut received = [0; 6];
    client.read_exact(&mut received).unwrap();
    assert_eq!(&received, b"onetwo");
    assert_closed_without_reset(&client);
    drop((connection, client, idle, keep_open));
    server.wait_until_stopped();
}

/// Guards against a process that exits by itself before it has answered a command that it has read.
#[test]
fn server_stops_after_its_time_only_once_each_command_has_its_response() {
    let mut limits = test_limits();
    limits.shutdown_timeout = Duration::from_millis(50);
    let ByteCommands { server, commands, keep_open, .. } = byte_commands(limits);
    let mut client = server.connect();
    client.write_all(b"1").unwrap();
    let (connection, _) = commands.recv_timeout(TEST_TIMEOUT).unwrap();
    server.shut_down();
    let stopped = server.stopped.recv_timeout(Duration::from_millis(300));
    assert!(stopped.is_err(), "the server stopped with a command in flight");
    respond(&connection, b"one");
    server.wait_until_stopped();
    let mut received = [0; 3];
    client.read_exact(&mut received).unwrap();
    drop(keep_open);
}

#[test]
fn last_response_closes_connection_with_half_read_command() {
    let (half_read, half_commands) = unbounded();
    let (reader_ended, readers_ended) = unbounded();
    let (keep_open, released) = bounded::<()>(0);
    let server = TestServer::start(test_limits(), move |connection| {
        let mut reader = connection.command_reader(false);
        let mut byte = [0];
        let begun = connection.begin_command(false);
        // The connection that wakes the accept thread sends nothing, and may be closed before its own thread
        // runs.
        if reader.read_exact(&mut byte).is_err() {
            if begun {
                connection.finish_command();
            }
            return;
        }
        assert!(begun);
        half_read.send(connection.clone()).unwrap();
        // Waits for the second half of the command, which arrives too late.
        reader_ended.send(reader.read(&mut byte).map_err(|e| e.kind())).unwrap();
        _ = released.recv();
    });
    let mut client = server.connect();
    client.write_all(b"h").unwrap();
    let connection = half_commands.recv_timeout(TEST_TIMEOUT).unwrap();
    assert_eq!(connection.socket_state(), SocketState::Idle);
    server.shut_down();
    wait_until("the policy is to stop reading", || connection.reading_stopped());
    respond(&connection, b"one");
    let mut received = [0; 3];
    client.read_exact(&mut received).unwrap();
    assert_closed_without_reset(&client);
    client.write_all(b"alf").unwrap();
    assert_eq!(readers_ended.recv_timeout(TEST_TIMEOUT).unwrap(), Ok(0), "bytes returned after the close");
    assert!(!connection.begin_command(false));
    drop((connection, client, keep_open));
    server.wait_until_stopped();
}

#[test]
fn listen_backlog_is_served_at_shutdown() {
    let mut limits = test_limits();
    limits.max_client_connections = 1;
    limits.draining_first_request_timeout = TEST_TIMEOUT;
    let ByteCommands { server, commands, readers_ended, keep_open } = byte_commands(limits);
    let mut clients: Vec<TcpStream> = (0..4).map(|_| server.connect()).collect();
    clients[0].write_all(b"0").unwrap();
    // The server is at the connection limit and no connection may be evicted, so all connections but the
    // first stay in the listen backlog.
    let (first, _) = commands.recv_timeout(TEST_TIMEOUT).unwrap();
    for (n, client) in clients.iter_mut().enumerate().skip(1) {
        client.write_all(&[b'0' + n as u8]).unwrap();
    }
    server.shut_down();
    let mut others: Vec<(Arc<Connection>, u8)> =
        (1..4).map(|_| commands.recv_timeout(TEST_TIMEOUT).unwrap()).collect();
    others.push((first, b'0'));
    for (connection, n) in others {
        respond(&connection, &[n]);
    }
    for (n, client) in clients.iter_mut().enumerate() {
        let mut received = [0];
        client.read_exact(&mut received).unwrap();
        assert_eq!(received, [b'0' + n as u8]);
        assert_closed_without_reset(client);
    }
    drop((clients, keep_open));
    server.wait_until_stopped();
    assert!(readers_ended.len() >= 4);
}
