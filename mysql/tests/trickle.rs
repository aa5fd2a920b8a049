//! A server that brings a byte now and then, for ever, holds nobody beyond their time. Over real loopback sockets.
use mysql_wire::link::Mysql;
use routing::protocol::{AttemptGuard, BackendProtocol, Connection, ConnectionPermit, Exchange};
use routing::{Clock, Outcome};
use settings::operator;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};
use test_servers::wire::{greet, read};

/// A server that goes on like this with its first connection.
fn server(mut act: impl FnMut(&mut TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || act(&mut listener.accept().unwrap().0));
    addr
}

/// A packet of 3000 bytes, one of them every few milliseconds, until the other side closes.
fn trickle(socket: &mut TcpStream) {
    _ = socket.write_all(&[0xb8, 0x0b, 0, 0, 0x0a]);
    while socket.write_all(b"8").is_ok() {
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn wire() -> Mysql {
    let operator = operator::read(include_str!("../../deploy/mysql.toml")).unwrap();
    let mut limits = operator.limits;
    (limits.backend_connect_timeout, limits.health_check_timeout) =
        (Duration::from_millis(150), Duration::from_millis(150));
    Mysql::new(Arc::new(operator.mysql), Arc::new(limits), Clock::new())
}

/// By far less than the packet takes, and by far more than what is allowed.
const FAR: Duration = Duration::from_secs(10);

#[test]
fn a_greeting_that_never_ends_is_given_up_by_the_time_of_a_connection() {
    let addr = server(trickle);
    let begun = Instant::now();
    assert_eq!(wire().connect(addr, permit()).err(), Some(Outcome::ConnectFailed));
    assert!(begun.elapsed() < FAR, "{:?}", begun.elapsed());
}

#[test]
fn a_probe_whose_answer_never_ends_is_given_up_by_its_time() {
    let addr = server(|socket| {
        greet(socket).unwrap();
        read(socket).unwrap();
        trickle(socket);
    });
    let mut link = wire().connect(addr, permit()).ok().unwrap();
    let begun = Instant::now();
    let reply = link.execute(Exchange::Probe, &AttemptGuard::default()).ok().unwrap();
    assert_eq!((reply.outcome, reply.reusable), (Outcome::TimedOut, false));
    assert!(begun.elapsed() < FAR, "{:?}", begun.elapsed());
}

/// A permit to open a connection.
fn permit() -> ConnectionPermit {
    AttemptGuard::default().permit_connection().unwrap()
}
