//! A stand-in instance that does what a test scripts, byte by byte, and a link to it.
#![allow(dead_code)]
use postgres::link::{Postgres, PostgresLink};
use postgres::statement::Statement;
use routing::Clock;
use routing::Outcome;
use routing::protocol::{
    AttemptGuard, BackendProtocol, Connection, ConnectionPermit, Exchange, ExchangeResult, NotSent,
};
use settings::Limits;
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Reached only by a failure.
pub const LONG: Duration = Duration::from_secs(20);

/// How a stand-in goes on once it has written what it has to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Cut {
    Fin,
    Reset,
    /// Says nothing more, and holds the connection until the router ends it.
    Silent,
}

pub const CUTS: [Cut; 3] = [Cut::Fin, Cut::Reset, Cut::Silent];

pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    [&[tag][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
}

pub fn ready() -> Vec<u8> {
    message(b'Z', b"I")
}

pub fn greeting() -> Vec<u8> {
    [message(b'R', &[0; 4]), ready()].concat()
}

/// RowDescription, DataRow and CommandComplete.
pub fn row(value: &str) -> [Vec<u8>; 3] {
    let cell = [&[0, 1][..], &(value.len() as u32).to_be_bytes(), value.as_bytes()].concat();
    let column = [&[0, 1][..], b"body\0", &[0; 18]].concat();
    [message(b'T', &column), message(b'D', &cell), message(b'C', b"SELECT 1\0")]
}

pub fn error(severity: &str, code: &str) -> Vec<u8> {
    message(b'E', format!("S{severity}\0V{severity}\0C{code}\0Mno\0\0").as_bytes())
}

/// One message of the router, its tag and length included; `None` once it has ended the connection.
pub fn heard(mut from: &TcpStream) -> Option<Vec<u8>> {
    let mut head = [0; 5];
    from.read_exact(&mut head).ok()?;
    let mut body = vec![0; u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize - 4];
    from.read_exact(&mut body).ok()?;
    Some([&head[..], &body].concat())
}

pub fn startup(mut from: &TcpStream) {
    let mut length = [0; 4];
    from.read_exact(&mut length).unwrap();
    from.read_exact(&mut vec![0; u32::from_be_bytes(length) as usize - 4]).unwrap();
}

/// Writes, then goes on as told; with a reset, what was written comes before it.
pub fn cut(mut socket: &TcpStream, bytes: &[u8], cut: Cut) {
    // The router may have ended the connection already.
    _ = socket.write_all(bytes);
    match cut {
        Cut::Fin => _ = socket.shutdown(std::net::Shutdown::Write),
        Cut::Reset => {
            SockRef::from(socket).set_linger(Some(Duration::ZERO)).unwrap();
            return;
        }
        Cut::Silent => {}
    }
    while socket.read(&mut [0; 256]).is_ok_and(|n| n > 0) {}
}

/// Where a stand-in listens that plays this script on its first connection.
pub fn instance(script: impl FnOnce(TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || script(listener.accept().unwrap().0));
    addr
}

pub fn limits() -> Limits {
    let mut limits = Limits::new(256, 32 << 20, LONG, LONG, LONG);
    limits.backend_check_timeout = LONG;
    limits.response_end_timeout = Duration::from_millis(10);
    limits.abandoned_response_timeout = Duration::ZERO;
    limits
}

pub fn open(limits: &Limits, addr: SocketAddr) -> Result<PostgresLink, Outcome> {
    Postgres::new(Arc::new(limits.clone()), Clock::new()).connect(addr, permit())
}

/// A permit to open or check a connection.
pub fn permit() -> ConnectionPermit {
    AttemptGuard::default().permit_connection().unwrap()
}

/// A link to an instance that has greeted; the script goes on from there.
pub fn link(limits: &Limits, script: impl FnOnce(&TcpStream) + Send + 'static) -> PostgresLink {
    let addr = instance(move |socket| {
        startup(&socket);
        (&socket).write_all(&greeting()).unwrap();
        script(&socket);
    });
    open(limits, addr).ok().unwrap()
}

pub const SELECT: &str = "SELECT body FROM objects WHERE oid = 'k1' /* id=a1,c=read,d=480,cluster=3 */";

pub fn statement() -> Statement {
    Statement::parse(&message(b'Q', format!("{SELECT}\0").as_bytes())).unwrap()
}

pub fn attempt(link: &mut PostgresLink, until: Instant) -> Result<ExchangeResult<Vec<u8>>, NotSent> {
    link.execute(Exchange::Attempt(&statement(), until), &AttemptGuard::default())
}

pub fn probe(link: &mut PostgresLink) -> Result<ExchangeResult<Vec<u8>>, NotSent> {
    link.execute(Exchange::Probe, &AttemptGuard::default())
}
