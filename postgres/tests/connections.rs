//! Connections to instances: opening them, checking whether they are usable, and what arrives while they are idle.
mod common;
use common::{
    CUTS, Cut, TIMEOUT, attempt, connect, connect_to, error, limits, message, permit, probe, read_message,
    read_startup, ready, row, start_instance, write_and_cut,
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

/// A connection to an instance that answers each query with the next of `responses` and then sends nothing any more; the
/// messages that it reads come out of the receiver.
fn connect_answering(responses: &'static [&'static [u8]]) -> (PostgresConnection, Receiver<Vec<u8>>) {
    let (sender, received) = channel();
    let mut limits = limits();
    limits.backend_check_timeout = Duration::from_millis(500);
    let connection = connect(&limits, move |socket| {
        for response in responses {
            let Some(message) = read_message(socket) else { return };
            _ = sender.send(message);
            _ = (&*socket).write_all(response);
        }
        // Whatever comes now is dropped silently, as by a network that has lost the connection.
        write_and_cut(socket, b"", Cut::Silent);
    });
    (connection, received)
}

#[test]
fn long_idle_connection_is_checked_and_recently_used_one_is_not() {
    let (mut connection, received) = connect_answering(&[EMPTY_QUERY_RESPONSE, EMPTY_QUERY_RESPONSE]);
    assert!(connection.is_usable(Duration::ZERO, permit()));
    assert!(connection.is_usable(Duration::from_secs(5), permit()), "the instance answers the check");
    assert!(connection.is_usable(Duration::from_secs(5), permit()), "and may be checked again");
    assert_eq!(
        received.try_iter().collect::<Vec<_>>(),
        [EMPTY_QUERY, EMPTY_QUERY],
        "none was sent on the connection just used"
    );
}

#[test]
fn lost_connection_or_unexpected_check_response_is_not_usable() {
    let (mut connection, _received) = connect_answering(&[]);
    assert!(connection.is_usable(Duration::ZERO, permit()), "nothing shows that it was lost");
    assert!(!connection.is_usable(Duration::from_secs(5), permit()));
    let row_behind = Box::leak([EMPTY_QUERY_RESPONSE, &row("x").concat()].concat().into_boxed_slice());
    for unexpected in [
        &b"Z\0\0\0\x05I"[..],
        b"E\0\0\0\x0cC57P01\0\0",
        b"I\0\0\0\x04Z\0\0\0\x05T",
        b"I\0\0\0\x04Z\0\0\0\x05IZ",
        b"I\0\0\0\x04S\0\0\0\x01",
        b"I\xff\xff\xff\xff",
        row_behind,
    ] {
        let (mut connection, _received) = connect_answering(Box::leak(Box::new([unexpected])));
        assert!(!connection.is_usable(Duration::from_secs(5), permit()), "{unexpected:?}");
    }
}

#[test]
fn check_response_counts_only_complete_and_within_its_timeout() {
    let complete =
        [message(b'S', b"mode\0read-only\0"), message(b'N', b"SNOTICE\0\0"), EMPTY_QUERY_RESPONSE.to_vec()]
            .concat();
    let mut limits = limits();
    limits.backend_check_timeout = Duration::from_secs(1);
    for cut in CUTS {
        std::thread::scope(|s| {
            for sent in 0..=complete.len() {
                let (limits, bytes, all) = (&limits, complete[..sent].to_vec(), complete.len());
                s.spawn(move || {
                    let mut connection = connect(limits, move |socket| {
                        read_message(socket);
                        write_and_cut(socket, &bytes, cut);
                    });
                    assert_eq!(
                        connection.is_usable(TIMEOUT, permit()),
                        sent == all,
                        "{cut:?} after {sent} bytes"
                    );
                });
            }
        });
    }
}

#[test]
fn endless_notices_end_with_the_check_timeout() {
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
    let (thirty, limit) = (Duration::from_secs(30), Duration::from_secs(10));
    let limits = Limits::new(
        ProcessResources { descriptors: 384, memory_bytes: 48 << 20 },
        RequestTimes {
            connect_timeout: Duration::from_millis(250),
            backend_keepalive: thirty,
            longest_deadline: thirty,
        },
    );
    assert!(limits.backend_idle_timeout > limit && limits.backend_idle_timeout < thirty);
    // An instance that closes early is left early.
    let short = Limits::new(
        ProcessResources { descriptors: 384, memory_bytes: 48 << 20 },
        RequestTimes {
            connect_timeout: Duration::from_millis(250),
            backend_keepalive: Duration::from_secs(2),
            longest_deadline: thirty,
        },
    );
    assert!(
        short.backend_idle_timeout < Duration::from_secs(2)
            && short.max_unchecked_idle_time <= short.backend_idle_timeout
    );
}

#[test]
fn both_rejection_codes_mean_that_nothing_ran() {
    for (code, outcome) in
        [("53300", Outcome::Rejected), ("57P03", Outcome::Rejected), ("XX000", Outcome::Error)]
    {
        let response = [error("ERROR", code), ready()].concat();
        let (mut connection, _received) = connect_answering(Box::leak(Box::new([&*response.leak()])));
        let result = probe(&mut connection).ok().unwrap();
        assert_eq!(result.outcome, outcome, "{code}");
    }
}

#[test]
fn stray_message_before_the_write_is_not_taken_for_the_response() {
    let complete_response = [&row("nobody's")[..], &[ready()]].concat().concat();
    for (name, stray) in [
        ("a rejection", error("ERROR", "53300")),
        ("a rejection and its end", [error("ERROR", "53300"), ready()].concat()),
        ("the end of the session", error("FATAL", "57P01")),
        ("an incomplete message", b"E\0\0".to_vec()),
        ("a complete response", complete_response),
    ] {
        let (sender, received) = channel();
        let (send_stray, stray_due) = channel::<()>();
        let mut connection = connect(&limits(), move |socket| {
            stray_due.recv().unwrap();
            (&*socket).write_all(&stray).unwrap();
            // Whatever it reads it would carry out.
            sender.send(read_message(socket)).unwrap();
        });
        // The check of the idle connection comes first, the stray message right behind it.
        assert!(connection.is_usable(Duration::ZERO, permit()), "{name}");
        send_stray.send(()).unwrap();
        wait_until_readable(&connection.socket());
        let deadline = Instant::now() + TIMEOUT;
        assert_eq!(attempt(&mut connection, deadline).err(), Some(NotSent::ConnectionBroken), "{name}");
        drop(connection);
        assert_eq!(received.recv_timeout(TIMEOUT), Ok(None), "{name}: nothing was written");
    }
}

/// Waits until something can be read.
fn wait_until_readable(socket: &ServerSocket) {
    let started = Instant::now();
    while socket.is_idle_and_open() {
        assert!(started.elapsed() < TIMEOUT, "nothing arrived");
        std::thread::yield_now();
    }
}

#[test]
fn stray_rejection_during_the_write_does_not_prove_that_nothing_ran() {
    // As the statement is being read, an error stands before its answer already; and it is carried out.
    for (name, response, outcome) in [
        ("a row follows", [error("ERROR", "53300"), row("value").concat(), ready()].concat(), Outcome::Error),
        ("nothing follows", error("ERROR", "53300"), Outcome::Error),
        ("an incomplete row follows", [error("FATAL", "53300"), b"T\0\0".to_vec()].concat(), Outcome::Error),
        ("the session ends with it", error("FATAL", "53300"), Outcome::Rejected),
    ] {
        let (mut connection, _received) = connect_answering(Box::leak(Box::new([&*response.leak()])));
        let deadline = Instant::now() + TIMEOUT;
        let result = attempt(&mut connection, deadline).ok().unwrap();
        assert_eq!((result.outcome, result.reusable), (outcome, false), "{name}");
        assert!(Instant::now() < deadline, "{name}");
    }
}

/// How connecting fails where the greeting is cut like this; `None` if it does not.
fn connect_error(limits: &Limits, greeting: Vec<u8>, cut: Cut) -> Option<Outcome> {
    let addr = start_instance(move |socket| {
        read_startup(&socket);
        write_and_cut(&socket, &greeting, cut);
    });
    connect_to(limits, addr).err()
}

#[test]
fn greeting_cut_at_any_byte_fails_and_a_complete_rejection_counts() {
    let mut limits = limits();
    limits.backend_connect_timeout = Duration::from_millis(800);
    let good = [
        message(b'R', &[0; 4]),
        message(b'S', b"server_version\x0016\0"),
        message(b'K', &[7; 8]),
        message(b'N', b"SNOTICE\0\0"),
    ]
    .concat();
    let complete = [good.clone(), ready()].concat();
    for (name, bytes, error) in [
        ("complete", complete.clone(), None),
        ("too many connections", error("FATAL", "53300"), Some(Outcome::Rejected)),
        ("starting up", error("FATAL", "57P03"), Some(Outcome::Rejected)),
        ("too many connections, late", [good, error("FATAL", "53300")].concat(), Some(Outcome::Rejected)),
        ("shutting down", error("FATAL", "57P01"), Some(Outcome::ConnectFailed)),
    ] {
        for cut in CUTS {
            std::thread::scope(|s| {
                for sent in 0..=bytes.len() {
                    let (limits, greeting) = (&limits, bytes[..sent].to_vec());
                    let expected = if sent == bytes.len() { error } else { Some(Outcome::ConnectFailed) };
                    s.spawn(move || {
                        let outcome = connect_error(limits, greeting, cut);
                        assert_eq!(outcome, expected, "{name}, {cut:?} after {sent} bytes");
                    });
                }
            });
        }
    }
    let with_rest = connect_error(&limits, [complete, b"E".to_vec()].concat(), Cut::Silent);
    assert_eq!(with_rest, Some(Outcome::ConnectFailed), "the rest would be taken for the first response");
}

#[test]
fn endless_or_slow_greeting_fails_within_the_connect_timeout() {
    let mut limits = limits();
    let endless = start_instance(|socket| {
        read_startup(&socket);
        while (&socket).write_all(&message(b'S', &[b'x'; 4096])).is_ok() {}
    });
    assert_eq!(connect_to(&limits, endless).err(), Some(Outcome::ConnectFailed), "bounded by its bytes");
    limits.backend_connect_timeout = Duration::from_millis(300);
    let slow = start_instance(|mut socket| {
        read_startup(&socket);
        socket.set_read_timeout(Some(Duration::from_millis(5))).unwrap();
        _ = socket.write_all(b"N\0\0\x30\0");
        // The pace of the flood; it ends with the connection.
        while socket.read(&mut [0]).is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
            && socket.write_all(b"x").is_ok()
        {}
    });
    let started = Instant::now();
    assert_eq!(connect_to(&limits, slow).err(), Some(Outcome::ConnectFailed));
    assert!(started.elapsed() < TIMEOUT);
}

/// Whether a connection attempt to this address is unanswered.
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
fn late_accept_leaves_less_time_for_the_greeting() {
    // The system answers no further connection attempt while this one waits to be accepted; the router's succeeds with
    // its second SYN, after a second.
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
    let silent = listener.accept().unwrap().0;
    let (outcome, took) = connecting.join().unwrap();
    assert_eq!(outcome, Some(Outcome::ConnectFailed));
    assert!(took >= Duration::from_secs(1), "{took:?}: it was accepted at once");
    assert!(took < Duration::from_millis(2300), "{took:?} of 1.6 s for both");
    drop(silent);
}

#[test]
fn greeted_connection_executes_a_statement() {
    let (mut connection, received) =
        connect_answering(Box::leak(Box::new([&*[row("value").concat(), ready()].concat().leak()])));
    let deadline = Instant::now() + TIMEOUT;
    let result = attempt(&mut connection, deadline).ok().unwrap();
    assert_eq!((result.outcome, result.reusable), (Outcome::Ok, true));
    let sent = String::from_utf8(received.recv_timeout(TIMEOUT).unwrap()[5..].to_vec()).unwrap();
    assert!(sent.starts_with("SELECT body") && sent.contains("id=a1,c=read,d="), "{sent}");
}
