//! A test instance that runs a script and controls every byte that it sends, and a connection to it.
use client_listener::memory::{ClientMemory, MemoryPool};
use postgres::backend::{Postgres, PostgresConnection};
use postgres::request::Request;
use postgres::statement::Statement;
use routing::Clock;
use routing::Outcome;
use routing::protocol::{
    AttemptGuard, BackendProtocol, Connection, ConnectionPermit, Exchange, ExchangeResult, NotSent,
};
use settings::Limits;
use settings::limits::{ProcessResources, RequestTimes};
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A timeout that passes only if a test fails.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);

/// What a test instance does after it has written its bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Ending {
    /// Shuts down the sending side of the connection.
    Fin,
    /// Resets the TCP connection.
    Reset,
    /// Sends nothing more, and leaves the connection open until the router closes it.
    Stall,
}

pub(crate) const ENDINGS: [Ending; 3] = [Ending::Fin, Ending::Reset, Ending::Stall];

pub(crate) fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    [&[tag][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
}

pub(crate) fn ready() -> Vec<u8> {
    message(b'Z', b"I")
}

pub(crate) fn startup_response() -> Vec<u8> {
    [message(b'R', &[0; 4]), ready()].concat()
}

/// `RowDescription`, `DataRow` and `CommandComplete`.
pub(crate) fn row(value: &str) -> [Vec<u8>; 3] {
    let cell = [&[0, 1][..], &(value.len() as u32).to_be_bytes(), value.as_bytes()].concat();
    let column = [&[0, 1][..], b"body\0", &[0; 18]].concat();
    [message(b'T', &column), message(b'D', &cell), message(b'C', b"SELECT 1\0")]
}

pub(crate) fn error(severity: &str, code: &str) -> Vec<u8> {
    message(b'E', format!("S{severity}\0V{severity}\0C{code}\0Mno\0\0").as_bytes())
}

/// Reads one message of the router, with its tag and length; returns `None` once the router has closed the
/// connection.
pub(crate) fn read_message(mut from: &TcpStream) -> Option<Vec<u8>> {
    let mut header = [0; 5];
    from.read_exact(&mut header).ok()?;
    let mut body = vec![0; u32::from_be_bytes([header[1], header[2], header[3], header[4]]) as usize - 4];
    from.read_exact(&mut body).ok()?;
    Some([&header[..], &body].concat())
}

/// Reads the router's startup message.
pub(crate) fn read_startup(mut from: &TcpStream) {
    let mut length = [0; 4];
    from.read_exact(&mut length).unwrap();
    from.read_exact(&mut vec![0; u32::from_be_bytes(length) as usize - 4]).unwrap();
}

/// Writes the bytes and then ends the connection as given. If the connection is reset, the bytes arrive
/// before the reset.
pub(crate) fn write_and_end(mut socket: &TcpStream, bytes: &[u8], ending: Ending) {
    // The router may have closed the connection already.
    _ = socket.write_all(bytes);
    match ending {
        Ending::Fin => _ = socket.shutdown(std::net::Shutdown::Write),
        Ending::Reset => {
            SockRef::from(socket).set_linger(Some(Duration::ZERO)).unwrap();
            return;
        }
        Ending::Stall => {}
    }
    while socket.read(&mut [0; 256]).is_ok_and(|n| n > 0) {}
}

/// Starts a test instance that runs this script on its first connection.
pub(crate) fn start_scripted_instance(script: impl FnOnce(TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || script(listener.accept().unwrap().0));
    addr
}

pub(crate) fn limits() -> Limits {
    let mut limits = Limits::new(
        ProcessResources { descriptors: 256, memory_bytes: 32 << 20 },
        RequestTimes { connect_timeout: TIMEOUT, backend_keepalive: TIMEOUT, longest_deadline: TIMEOUT },
    );
    limits.backend_check_timeout = TIMEOUT;
    limits.response_end_timeout = Duration::from_millis(10);
    limits.abandoned_response_timeout = Duration::ZERO;
    limits
}

pub(crate) fn connect_to(limits: &Limits, addr: SocketAddr) -> Result<PostgresConnection, Outcome> {
    Postgres::new(Arc::new(limits.clone()), Clock::new()).connect(addr, permit())
}

/// Returns a permit to open or check a connection.
pub(crate) fn permit() -> ConnectionPermit {
    AttemptGuard::default().permit_connection().unwrap()
}

/// Connects to an instance that has sent its startup response; the script continues from there.
pub(crate) fn connect(
    limits: &Limits,
    script: impl FnOnce(&TcpStream) + Send + 'static,
) -> PostgresConnection {
    let addr = start_scripted_instance(move |socket| {
        read_startup(&socket);
        (&socket).write_all(&startup_response()).unwrap();
        script(&socket);
    });
    connect_to(limits, addr).ok().unwrap()
}

pub(crate) const SELECT: &str =
    "SELECT body FROM objects WHERE oid = 'k1' /* id=a1,c=read,d=480,cluster=3 */";

pub(crate) fn statement() -> Request {
    let query = message(b'Q', format!("{SELECT}\0").as_bytes());
    let statement = Statement::parse(&query).unwrap().into_owned();
    Request { statement, memory: ClientMemory::new(&MemoryPool::new(1 << 20)) }
}

/// Executes a client's statement with this deadline.
pub(crate) fn attempt(
    connection: &mut PostgresConnection,
    deadline: Instant,
) -> Result<ExchangeResult<Vec<u8>>, NotSent> {
    let result = connection.execute(Exchange::Attempt(&statement(), deadline), &AttemptGuard::default())?;
    Ok(result.map_response(|response| response.messages))
}

pub(crate) fn probe(connection: &mut PostgresConnection) -> Result<ExchangeResult<Vec<u8>>, NotSent> {
    let result = connection.execute(Exchange::Probe, &AttemptGuard::default())?;
    Ok(result.map_response(|response| response.messages))
}
