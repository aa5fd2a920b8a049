//! Non-blocking reads and writes, and closing a connection with a TCP reset.
use mio::net::TcpStream;
use socket2::SockRef;
use std::io::{ErrorKind, Read, Write};
use std::time::Duration;

/// The size of the read buffer.
const READ_BUFFER_BYTES: usize = 4096;

/// Why reading the available bytes ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadEnd {
    /// No more bytes are available at present.
    Drained,
    /// The connection is closed.
    Closed,
    /// The receiver rejected the bytes.
    Rejected,
}

/// Makes a connection close with a TCP reset when it is dropped.
pub(super) fn reset(stream: &TcpStream) {
    _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Reads the available bytes until `receive` returns `false`.
pub(super) fn read_available(stream: &mut TcpStream, mut receive: impl FnMut(&[u8]) -> bool) -> ReadEnd {
    let mut bytes = [0; READ_BUFFER_BYTES];
    loop {
        match stream.read(&mut bytes) {
            Ok(0) => return ReadEnd::Closed,
            Ok(count) if receive(&bytes[..count]) => {}
            Ok(_) => return ReadEnd::Rejected,
            Err(error) if is_pending(error.kind()) => return ReadEnd::Drained,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return ReadEnd::Closed,
        }
    }
}

/// Writes as many bytes as the socket accepts and removes them from the buffer. Returns `false` if the
/// connection is closed.
pub(super) fn write_pending(stream: &mut TcpStream, outbound: &mut Vec<u8>) -> bool {
    while !outbound.is_empty() {
        match stream.write(outbound) {
            Ok(count) => drop(outbound.drain(..count)),
            Err(error) if is_pending(error.kind()) => return true,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return false,
        }
    }
    true
}

/// Whether an operation may succeed later on the same connection, which may not be established yet.
fn is_pending(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::WouldBlock | ErrorKind::NotConnected)
}
