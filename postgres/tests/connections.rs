//! Connections to instances: opening them, checking whether they are usable, and messages that arrive while
//! they are idle.
mod common;
use common::{
    ENDINGS, Ending, TIMEOUT, attempt, connect, connect_to, error, limits, message, permit, probe,
    read_message, read_startup, ready, row, start_scripted_instance, write_and_end,
};
use postgres::backend::{Postgres, PostgresConnection};
use routing::protocol::{BackendProtocol, Connection, NotSent};
use routing::{Clock, Outcome, ServerSocket};
use settings::Limits;
use settings::limits::{ProcessResources, RequestTimes};
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

const EMPTY_QUERY: &[u8] = b"Q\0\0\0\x05\0";
const EMPTY_QUERY_RESPONSE: &[u8] = b"I\0\0\0\x04Z\0\0\0\x05I";

/// Connects to an instance that responds to each message with the next of `responses` and then sends nothing
/// more. The receiver returns the messages that the instance reads.
fn connect_responding(responses: &'static [&'static [u8]]) -> (PostgresConnection, Receiver<Vec<u8>>) {
    let (sender, received) = channel();
    let mut limits = limits();
    limits.backend_check_timeout = Duration::from_millis(500);
    let connection = connect(&limits, move |socket| {
        for response in responses {
            let Some(message) = read_message(socket) else { return };
            _ = sender.send(message);
            _ = (&*socket).write_all(response);
        }
        // Later messages get no response, as on a connection that the network has lost.
        write_and_end(socket, b"", Ending::Stall);
    });
    (connection, received)
}

#[test]
fn long_idle_connection_is_checked_and_recently_used_one_is_not() {
    let (mut connection, received) = connect_responding(&[EMPTY_QUERY_RESPONSE, EMPTY_QUERY_RESPONSE]);
    assert!(connection.is_usable(Duration::ZERO, permit()));
    assert!(
        connection.is_usable(Duration::from_secs(5), permit()),
        "the instance has responded to the check"
    );
    assert!(connection.is_usable(Duration::from_secs(5), permit()), "a connection can be checked repeatedly");
    assert_eq!(
        received.try_iter().collect::<Vec<_>>(),
        [EMPTY_QUERY, EMPTY_QUERY],
        "only the two checks after a long idle time must send a query"
    );
}

#[test]
fn lost_connection_or_unexpected_check_response_is_not_usable() {
    let (mut connection, _received) = connect_responding(&[]);
    assert!(connection.is_usable(Duration::ZERO, permit()), "the loss is not detected without a check");
    assert!(!connection.is_usable(Duration::from_secs(5), permit()));
    let row_after = Box::leak([EMPTY_QUERY_RESPONSE, &row("x").concat()].concat().into_boxed_slice());
    for unexpected in [
        &b"Z\0\0\0\x05I"[..],
        b"E\0\0\0\x0cC57P01\0\0",
        b"I\0\0\0\x04Z\0\0\0\x05T",
        b"I\0\0\0\x04Z\0\0\0\x05IZ",
        b"I\0\0\0\x04S\0\0\0\x01",
        b"I\xff\xff\xff\xff",
        row_after,
    ] {
        let (mut connection, _received) = connect_responding(Box::leak(Box::new([unexpected])));
        assert!(!connection.is_usable(Duration::from_secs(5), permit()), "{unexpected:?}");
    }
}

#[test]
fn check_passes_only_with_a_complete_response_within_its_timeout() {
    let complete =
        [message(b'S', b"mode\0read-only\0"), message(b'N', b"SNOTICE\0\0"), EMPTY_QUERY_RESPONSE.to_vec()]
            .concat();
    let mut limits = limits();
    limits.backend_check_timeout = Duration::from_secs(1);
    for ending in ENDINGS {
        std::thread::scope(|s| {
            for sent in 0..=complete.len() {
                let (limits, bytes, all) = (&limits, complete[..sent].to_vec(), complete.len());
                s.spawn(move || {
                    let mut connection = connect(limits, move |socket| {
                        read_message(socket);
                        write_and_end(socket, &bytes, ending);
                    });
                    assert_eq!(
                        connection.is_usable(TIMEOUT, permit()),
                        sent == all,
                        "{ending:?} after {sent} bytes"
                    );
                });
            }
        });
    }
}

#[test]
fn endless_notices_fail_the_check_at_its_timeout() {
    let mut limits = limits();
    limits.backend_check_timeout = Duration::from_millis(100);
    let mut connection = connect(&limits, |socket| {
        read_message(socket);
        while (&*socket).write_all(&message(b'N', &[b'x'; 8 * 1024])).is_ok() {}
    });
    assert!(!connection.is_usable(TIMEOUT, permit()));
}

#[test]
fn idle_timeout_exceeds_reconnect_interval_and_stays_below_the_instance_timeout() {
    let (keepalive, reconnect) = (Duration::from_secs(30), Duration::from_secs(10));
    let limits = Limits::new(
        ProcessResources { descriptors: 384, memory_bytes: 48 << 20 },
        RequestTimes {
            connect_timeout: Duration::from_millis(250),
            backend_keepalive: keepalive,
            longest_deadline: keepalive,
        },
    );
    assert!(limits.backend_idle_timeout > reconnect && limits.backend_idle_timeout < keepalive);
    // If the instance closes idle connections early, the router closes them even earlier.
    let early_closing = Limits::new(
        ProcessResources { descriptors: 384, memory_bytes: 48 << 20 },
        RequestTimes {
            connect_timeout: Duration::from_millis(250),
            backend_keepalive: Duration::from_secs(2),
            longest_deadline: keepalive,
        },
    );
    assert!(
        early_closing.backend_idle_timeout < Duration::from_secs(2)
            && early_closing.max_unchecked_idle_time <= early_closing.backend_idle_timeout
    );
}

#[test]
fn both_rejection_codes_mean_that_nothing_was_executed() {
    for (code, outcome) in
        [("53300", Outcome::Rejected), ("57P03", Outcome::Rejected), ("XX000", Outcome::Error)]
    {
        let response = [error("ERROR", code), ready()].concat();
        let (mut connection, _received) = connect_responding(Box::leak(Box::new([&*response.leak()])));
        let result = probe(&mut connection).ok().unwrap();
        assert_eq!(result.outcome, outcome, "{code}");
    }
}

#[test]
fn stray_message_before_the_write_is_not_taken_for_the_response() {
    let complete_response = [&row("nobody's")[..], &[ready()]].concat().concat();
    for (name, stray) in [
        ("a rejection", error("ERROR", "53300")),
        ("a rejection and `ReadyForQuery`", [error("ERROR", "53300"), ready()].concat()),
        ("the end of the session", error("FATAL", "57P01")),
        ("an incomplete message", b"E\0\0".to_vec()),
        ("a complete response", complete_response),
    ] {
        let (sender, received) = channel();
        let (send_stray, stray_requested) = channel::<()>();
        let mut connection = connect(&limits(), move |socket| {
            stray_requested.recv().unwrap();
            (&*socket).write_all(&stray).unwrap();
            // The instance would execute any statement that it reads.
            sender.send(read_message(socket)).unwrap();
        });
        // The stray message arrives right after the check of the idle connection.
        assert!(connection.is_usable(Duration::ZERO, permit()), "{name}");
        send_stray.send(()).unwrap();
        wait_until_readable(&connection.socket());
        let deadline = Instant::now() + TIMEOUT;
        assert_eq!(attempt(&mut connection, deadline).err(), Some(NotSent::ConnectionBroken), "{name}");
        drop(connection);
        assert_eq!(received.recv_timeout(TIMEOUT), Ok(None), "{name}: a statement was written");
    }
}

/// Waits until the socket has bytes to read.
fn wait_until_readable(socket: &ServerSocket) {
    let started = Instant::now();
    while socket.is_idle_and_open() {
        assert!(started.elapsed() < TIMEOUT, "no bytes have arrived");
        std::thread::yield_now();
    }
}

#[test]
fn stray_rejection_during_the_write_does_not_prove_that_nothing_was_executed() {
    // The instance sends an error while it reads the statement, before the actual response, and executes the
    // statement all the same.
    for (name, response, outcome) in [
        ("a row follows", [error("ERROR", "53300"), row("value").concat(), ready()].concat(), Outcome::Error),
        ("nothing follows", error("ERROR", "53300"), Outcome::Error),
        ("an incomplete row follows", [error("FATAL", "53300"), b"T\0\0".to_vec()].concat(), Outcome::Error),
        ("the error ends the session", error("FATAL", "53300"), Outcome::Rejected),
    ] {
        let (mut connection, _received) = connect_responding(Box::leak(Box::new([&*response.leak()])));
        let deadline = Instant::now() + TIMEOUT;
        let result = attempt(&mut connection, deadline).ok().unwrap();
        assert_eq!((result.outcome, result.reusable), (outcome, false), "{name}");
        assert!(Instant::now() < deadline, "{name}");
    }
}

/// Returns how connecting fails if the startup response is cut off like this; `None` if it succeeds.
fn connect_outcome(limits: &Limits, startup_response: Vec<u8>, ending: Ending) -> Option<Outcome> {
    let addr = start_scripted_instance(move |socket| {
        read_startup(&socket);
        write_and_end(&socket, &startup_response, ending);
    });
    connect_to(limits, addr).err()
}

#[test]
fn truncated_startup_response_fails_and_complete_rejection_is_reported() {
    let mut limits = limits();
    limits.backend_connect_timeout = Duration::from_millis(800);
    let prefix = [
        message(b'R', &[0; 4]),
        message(b'S', b"server_version\x0016\0"),
        message(b'K', &[7; 8]),
        message(b'N', b"SNOTICE\0\0"),
    ]
    .concat();
    let complete = [prefix.clone(), ready()].concat();
    for (name, bytes, error) in [
        ("complete", complete.clone(), None),
        ("too many connections", error("FATAL", "53300"), Some(Outcome::Rejected)),
        ("starting up", error("FATAL", "57P03"), Some(Outcome::Rejected)),
        (
            "too many connections, after other messages",
            [prefix, error("FATAL", "53300")].concat(),
            Some(Outcome::Rejected),
        ),
        ("shutting down", error("FATAL", "57P01"), Some(Outcome::ConnectFailed)),
    ] {
        for ending in ENDINGS {
            std::thread::scope(|s| {
                for sent in 0..=bytes.len() {
                    let (limits, startup_response) = (&limits, bytes[..sent].to_vec());
                    let expected = if sent == bytes.len() { error } else { Some(Outcome::ConnectFailed) };
                    s.spawn(move || {
                        let outcome = connect_outcome(limits, startup_response, ending);
                        assert_eq!(outcome, expected, "{name}, {ending:?} after {sent} bytes");
                    });
                }
            });
        }
    }
    let with_extra_byte = connect_outcome(&limits, [complete, b"E".to_vec()].concat(), Ending::Stall);
    assert_eq!(
        with_extra_byte,
        Some(Outcome::ConnectFailed),
        "the extra byte would be taken for the first response"
    );
}

#[test]
fn endless_or_slow_startup_response_fails_within_the_connect_timeout() {
    let mut limits = limits();
    let endless = start_scripted_instance(|socket| {
        read_startup(&socket);
        while (&socket).write_all(&message(b'S', &[b'x'; 4096])).is_ok() {}
    });
    assert_eq!(
        connect_to(&limits, endless).err(),
        Some(Outcome::ConnectFailed),
        "the size of the startup response must be limited"
    );
    limits.backend_connect_timeout = Duration::from_millis(300);
    let slow = start_scripted_instance(|mut socket| {
        read_startup(&socket);
        socket.set_read_timeout(Some(Duration::from_millis(5))).unwrap();
        _ = socket.write_all(b"N\0\0\x30\0");
        // The read timeout sets the interval between the bytes. The loop ends when the router closes the
        // connection.
        while socket.read(&mut [0]).is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
            && socket.write_all(b"x").is_ok()
        {}
    });
    let started = Instant::now();
    assert_eq!(connect_to(&limits, slow).err(), Some(Outcome::ConnectFailed));
    assert!(started.elapsed() < TIMEOUT);
}

/// Returns whether a connection attempt to this address has had no response (its socket is in the state
/// SYN-SENT).
fn is_connecting_to(addr: SocketAddr) -> bool {
    const SYN_SENT: &str = "02";
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let port = format!(":{:04X}", addr.port());
    table.lines().any(|l| {
        let mut fields = l.split_ascii_whitespace().skip(2);
        fields.next().is_some_and(|to| to.ends_with(&port)) && fields.next() == Some(SYN_SENT)
    })
}

#[test]
fn late_accept_leaves_less_time_for_the_startup_response() {
    // With a backlog of 0, the kernel does not respond to the router's first SYN while another connection
    // waits to be accepted. The router's connection succeeds with its second SYN, after 1 s.
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    listener.listen(0).unwrap();
    let addr = listener.local_addr().unwrap().as_socket().unwrap();
    let first = TcpStream::connect(addr).unwrap();
    let mut limits = limits();
    limits.backend_connect_timeout = Duration::from_millis(1600);
    let connecting = std::thread::spawn(move || {
        let started = Instant::now();
        (Postgres::new(Arc::new(limits), Clock::new()).connect(addr, permit()).err(), started.elapsed())
    });
    let started = Instant::now();
    while !is_connecting_to(addr) {
        assert!(started.elapsed() < TIMEOUT);
        std::thread::yield_now();
    }
    drop(listener.accept().unwrap());
    drop(first);
    let unresponsive = listener.accept().unwrap().0;
    let (outcome, elapsed) = connecting.join().unwrap();
    assert_eq!(outcome, Some(Outcome::ConnectFailed));
    assert!(elapsed >= Duration::from_secs(1), "{elapsed:?}: the connection was accepted without delay");
    assert!(
        elapsed < Duration::from_millis(2300),
        "{elapsed:?}, with a limit of 1.6 s for connecting and startup"
    );
    drop(unresponsive);
}

#[test]
fn connection_executes_a_statement_after_startup() {
    let (mut connection, received) =
        connect_responding(Box::leak(Box::new([&*[row("value").concat(), ready()].concat().leak()])));
    let deadline = Instant::now() + TIMEOUT;
    let result = attempt(&mut connection, deadline).ok().unwrap();
    assert_eq!((result.outcome, result.reusable), (Outcome::Ok, true));
    let sent = String::from_utf8(received.recv_timeout(TIMEOUT).unwrap()[5..].to_vec()).unwrap();
    assert!(sent.starts_with("SELECT body") && sent.contains("id=a1,c=read,d="), "{sent}");
}
