//! A server that sends a byte now and then without end delays nobody beyond the timeouts. Over real loopback sockets.
use mysql_wire::backend::Mysql;
use routing::protocol::{AttemptGuard, BackendProtocol, Connection, ConnectionPermit, Exchange};
use routing::{Clock, Outcome};
use settings::operator;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};
use test_servers::wire::{greet, read};

/// Starts a server that handles its first connection like this.
fn start_server(mut act: impl FnMut(&mut TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || act(&mut listener.accept().unwrap().0));
    addr
}

/// Sends a packet of 3000 bytes, one of them every few milliseconds, until the other side closes.
fn trickle(socket: &mut TcpStream) {
    _ = socket.write_all(&[0xb8, 0x0b, 0, 0, 0x0a]);
    while socket.write_all(b"8").is_ok() {
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn protocol() -> Mysql {
    let operator = operator::read(include_str!("../../deploy/mysql.toml")).unwrap();
    let mut limits = operator.limits;
    (limits.backend_connect_timeout, limits.health_check_timeout) =
        (Duration::from_millis(150), Duration::from_millis(150));
    Mysql::new(Arc::new(operator.mysql), Arc::new(limits), Clock::new())
}

/// Far less than the packet takes, and far more than the timeouts.
const MAX_ELAPSED: Duration = Duration::from_secs(10);

#[test]
fn endless_greeting_fails_within_the_connect_timeout() {
    let addr = start_server(trickle);
    let started = Instant::now();
    assert_eq!(protocol().connect(addr, permit()).err(), Some(Outcome::ConnectFailed));
    assert!(started.elapsed() < MAX_ELAPSED, "{:?}", started.elapsed());
}

#[test]
fn endless_probe_response_ends_with_the_probe_timeout() {
    let addr = start_server(|socket| {
        greet(socket).unwrap();
        read(socket).unwrap();
        trickle(socket);
    });
    let mut connection = protocol().connect(addr, permit()).ok().unwrap();
    let started = Instant::now();
    let result = connection.execute(Exchange::Probe, &AttemptGuard::default()).ok().unwrap();
    assert_eq!((result.outcome, result.reusable), (Outcome::TimedOut, false));
    assert!(started.elapsed() < MAX_ELAPSED, "{:?}", started.elapsed());
}

/// A permit to open a connection.
fn permit() -> ConnectionPermit {
    AttemptGuard::default().permit_connection().unwrap()
}
