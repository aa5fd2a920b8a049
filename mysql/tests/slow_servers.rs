//! A server that keeps sending single bytes must not delay the router beyond its timeouts: each byte that
//! arrives must not restart the timeout. The tests use loopback sockets.
use mysql_wire::backend::Mysql;
use routing::protocol::{AttemptGuard, BackendProtocol, Connection, ConnectionPermit, Exchange};
use routing::{Clock, Outcome};
use settings::operator;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};
use test_servers::wire::{greet, read};

/// Starts a server that handles its first connection with `handle_connection`.
fn start_server(mut handle_connection: impl FnMut(&mut TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || handle_connection(&mut listener.accept().unwrap().0));
    addr
}

/// Sends a packet of 3000 bytes at one byte every 5 ms until the peer closes the connection.
fn send_slowly(socket: &mut TcpStream) {
    _ = socket.write_all(&[0xb8, 0x0b, 0, 0, 0x0a]);
    while socket.write_all(b"8").is_ok() {
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn protocol_with_short_timeouts() -> Mysql {
    let operator = operator::read(include_str!("../../deploy/mysql.toml")).unwrap();
    let mut limits = operator.limits;
    (limits.backend_connect_timeout, limits.health_check_timeout) =
        (Duration::from_millis(150), Duration::from_millis(150));
    Mysql::new(Arc::new(operator.mysql), Arc::new(limits), Clock::new())
}

/// Upper bound for each test: much shorter than sending the whole packet takes, and much longer than the
/// timeouts.
const MAX_ELAPSED: Duration = Duration::from_secs(10);

#[test]
fn slowly_sent_greeting_fails_within_connect_timeout() {
    let addr = start_server(send_slowly);
    let started = Instant::now();
    assert_eq!(
        protocol_with_short_timeouts().connect(addr, connection_permit()).err(),
        Some(Outcome::ConnectFailed)
    );
    assert!(started.elapsed() < MAX_ELAPSED, "{:?}", started.elapsed());
}

#[test]
fn slowly_sent_probe_response_fails_within_probe_timeout() {
    let addr = start_server(|socket| {
        greet(socket).unwrap();
        read(socket).unwrap();
        send_slowly(socket);
    });
    let mut connection = protocol_with_short_timeouts().connect(addr, connection_permit()).ok().unwrap();
    let started = Instant::now();
    let result = connection.execute(Exchange::Probe, &AttemptGuard::default()).ok().unwrap();
    assert_eq!((result.outcome, result.reusable), (Outcome::TimedOut, false));
    assert!(started.elapsed() < MAX_ELAPSED, "{:?}", started.elapsed());
}

fn connection_permit() -> ConnectionPermit {
    AttemptGuard::default().permit_connection().unwrap()
}
