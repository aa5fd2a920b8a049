//! Calls that operators and the platform make to a router: admin commands and the readiness probe.
use crate::environment::wire::{encode_message, startup_message, tag};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The size of the read buffer for the response to an admin command.
const ADMIN_BUFFER_BYTES: usize = 8192;
/// The size of the read buffer for the response to an empty query.
const PROBE_BUFFER_BYTES: usize = 1024;
/// The `EmptyQueryResponse` message: its tag and a length field that counts only itself.
const EMPTY_QUERY_RESPONSE: [u8; 5] = [tag::EMPTY_QUERY, 0, 0, 0, 4];

/// Sends a line to an admin address and returns the whole response.
///
/// # Errors
/// A socket error, or [`ErrorKind::TimedOut`].
pub(super) fn admin_call(address: SocketAddr, line: &str, timeout: Duration) -> io::Result<String> {
    let deadline = Instant::now() + timeout;
    let mut socket = connect(address, timeout)?;
    socket.write_all(format!("{line}\n").as_bytes())?;
    let mut response = String::new();
    let mut bytes = [0; ADMIN_BUFFER_BYTES];
    while Instant::now() < deadline {
        match socket.read(&mut bytes)? {
            0 => return Ok(response),
            count => response.push_str(&String::from_utf8_lossy(&bytes[..count])),
        }
    }
    Err(ErrorKind::TimedOut.into())
}

/// Whether a router responds to the platform's readiness probe, an empty query.
pub(super) fn is_ready(address: SocketAddr, timeout: Duration) -> bool {
    responds_to_empty_query(address, timeout).unwrap_or(false)
}

fn responds_to_empty_query(address: SocketAddr, timeout: Duration) -> io::Result<bool> {
    let mut socket = connect(address, timeout)?;
    socket.write_all(&startup_message())?;
    socket.write_all(&encode_message(tag::QUERY, b"\0"))?;
    let mut received = Vec::new();
    let mut bytes = [0; PROBE_BUFFER_BYTES];
    while !received.windows(EMPTY_QUERY_RESPONSE.len()).any(|window| window == EMPTY_QUERY_RESPONSE) {
        match socket.read(&mut bytes)? {
            0 => return Ok(false),
            count => received.extend_from_slice(&bytes[..count]),
        }
    }
    Ok(true)
}

fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let socket = TcpStream::connect_timeout(&address, timeout)?;
    socket.set_read_timeout(Some(timeout))?;
    Ok(socket)
}
