//! Reads and writes `MySQL` packets on non-blocking connections.
use mio::net::TcpStream;
use std::io::{ErrorKind, Read, Write};

/// Length of a packet header: three bytes of payload length and one byte of sequence id.
const HEADER_BYTES: usize = 4;

/// Whether a connection is still usable after a read or a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionState {
    Open,
    Closed,
}

/// Removes the first packet from a buffer and returns its payload; `None` if the packet is incomplete.
pub(crate) fn take_packet(buffer: &mut Vec<u8>) -> Option<Vec<u8>> {
    let header = buffer.first_chunk::<HEADER_BYTES>()?;
    let length = u32::from_le_bytes([header[0], header[1], header[2], 0]) as usize;
    let end = HEADER_BYTES + length;
    if buffer.len() < end {
        return None;
    }
    let payload = buffer[HEADER_BYTES..end].to_vec();
    buffer.drain(..end);
    Some(payload)
}

/// Reads until the socket would block, and appends the bytes to the buffer.
pub(crate) fn read_available(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> ConnectionState {
    let mut bytes = [0; 4096];
    loop {
        match stream.read(&mut bytes) {
            Ok(0) => return ConnectionState::Closed,
            Ok(n) => buffer.extend_from_slice(&bytes[..n]),
            Err(e) if e.kind() == ErrorKind::WouldBlock => return ConnectionState::Open,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return ConnectionState::Closed,
        }
    }
}

/// Writes until the buffer is empty or the socket would block, and removes the written bytes from the buffer.
pub(crate) fn write_available(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> ConnectionState {
    while !buffer.is_empty() {
        match stream.write(buffer) {
            Ok(n) => drop(buffer.drain(..n)),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => {
                return ConnectionState::Open;
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return ConnectionState::Closed,
        }
    }
    ConnectionState::Open
}
