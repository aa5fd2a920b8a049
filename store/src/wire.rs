//! The protocol between clients and nodes. Each side first sends a hello with a magic number and a version.
//! Messages follow in frames: a length (four bytes, little-endian) and a message in the postcard format. The
//! length is limited, and the message must fill the frame exactly.
mod messages;

pub use messages::{Consistency, ReadHeader, Request, Response, WatchPosition};

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};
use thiserror::Error;

/// A protocol that uses these frames, as identified by its hello.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Protocol {
    /// The bytes that identify the protocol in a hello.
    pub magic: [u8; 4],
    /// The version of the protocol's messages; both sides must have the same one.
    pub version: u16,
}

/// The protocol between store nodes and their clients.
pub const STORE_PROTOCOL: Protocol = Protocol { magic: *b"DVST", version: 1 };

/// The maximum length of a message, in bytes. The longest message that cannot be split is the change that
/// removes all keys of an ended lease, which is far below this limit.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Length in bytes after which a part of a list of keys ends. A part ends with the entry that exceeds it.
pub const PART_BYTES: usize = 256 << 10;
/// Number of bytes by which the receive buffer grows each time it has been filled.
const BUFFER_STEP_BYTES: usize = 64 << 10;
/// Length of the length field of a frame, which is not included in the length itself.
const LENGTH_BYTES: usize = 4;
/// Length of a hello: a magic number of four bytes and a version of two bytes, little-endian.
const HELLO_BYTES: usize = 6;

/// Why a connection can no longer be used.
#[derive(Debug, Error)]
pub enum WireError {
    /// The connection has failed, was closed or timed out.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// The peer of the connection uses another protocol.
    #[error("the other side does not use this protocol; check the address")]
    WrongProtocol,
    /// The peer of the connection uses another version of the protocol.
    #[error(
        "the other side uses protocol version {0}, this side {own}; run the same program version on both",
        own = STORE_PROTOCOL.version
    )]
    WrongVersion(u16),
    /// A message exceeds [`MAX_MESSAGE_BYTES`].
    #[error("message of {0} bytes exceeds the limit of {MAX_MESSAGE_BYTES} bytes")]
    TooLong(usize),
    /// The received bytes are not a valid message, or a message cannot be serialized.
    #[error("malformed message: {0}")]
    Malformed(#[from] postcard::Error),
}

/// Sends the hello of a protocol.
///
/// # Errors
/// Fails if the connection fails.
pub fn send_hello(mut socket: &TcpStream, protocol: Protocol) -> io::Result<()> {
    let Protocol { magic: [m0, m1, m2, m3], version } = protocol;
    let [low, high] = version.to_le_bytes();
    socket.write_all(&[m0, m1, m2, m3, low, high])
}

/// Receives and checks the peer's hello within `timeout`.
///
/// # Errors
/// [`WireError::WrongProtocol`] and [`WireError::WrongVersion`] if the hello differs, [`WireError::Io`] if no
/// hello is received.
pub fn receive_hello(socket: &TcpStream, protocol: Protocol, timeout: Duration) -> Result<(), WireError> {
    let mut bytes = [0; HELLO_BYTES];
    read_exact_until(socket, &mut bytes, Instant::now() + timeout)?;
    let [magic @ .., low, high] = bytes;
    let version = u16::from_le_bytes([low, high]);
    if magic != protocol.magic {
        return Err(WireError::WrongProtocol);
    }
    if version != protocol.version {
        return Err(WireError::WrongVersion(version));
    }
    Ok(())
}

/// Sends a message. The caller sets the socket's write timeout.
///
/// # Errors
/// [`WireError::TooLong`] and [`WireError::Malformed`] if nothing was sent, [`WireError::Io`] if the
/// connection fails.
pub fn send(mut socket: &TcpStream, message: &impl Serialize) -> Result<(), WireError> {
    let mut frame = postcard::to_extend(message, vec![0; LENGTH_BYTES])?;
    let length = frame.len() - LENGTH_BYTES;
    if length > MAX_MESSAGE_BYTES {
        return Err(WireError::TooLong(length));
    }
    frame[..LENGTH_BYTES].copy_from_slice(&(length as u32).to_le_bytes());
    Ok(socket.write_all(&frame)?)
}

/// Receives the next message: the first byte within `idle_timeout`, and the rest within `message_timeout`
/// after that.
///
/// # Errors
/// [`WireError::Io`] if the message is not received in time, [`WireError::TooLong`] and
/// [`WireError::Malformed`] if the message is invalid.
pub fn receive<T: DeserializeOwned>(
    socket: &TcpStream,
    idle_timeout: Duration,
    message_timeout: Duration,
) -> Result<T, WireError> {
    let mut header = [0; LENGTH_BYTES];
    read_exact_until(socket, &mut header[..1], Instant::now() + idle_timeout)?;
    let deadline = Instant::now() + message_timeout;
    read_exact_until(socket, &mut header[1..], deadline)?;
    let length = u32::from_le_bytes(header) as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(WireError::TooLong(length));
    }
    let mut body = Vec::new();
    while body.len() < length {
        let filled = body.len();
        // The peer must not make this process allocate much more memory than the number of bytes that the
        // peer sends.
        body.resize(length.min(filled + BUFFER_STEP_BYTES), 0);
        read_exact_until(socket, &mut body[filled..], deadline)?;
    }
    match postcard::take_from_bytes(&body)? {
        (message, []) => Ok(message),
        // Postcard has no specific error for trailing bytes.
        _ => Err(WireError::Malformed(postcard::Error::SerdeDeCustom)),
    }
}

/// Fills the buffer before the deadline. A plain socket timeout would restart with each read, so a sender of
/// one byte at a time could hold the connection open forever.
fn read_exact_until(mut socket: &TcpStream, buffer: &mut [u8], deadline: Instant) -> io::Result<()> {
    let mut filled = 0;
    while filled < buffer.len() {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        socket.set_read_timeout(Some(remaining))?;
        match socket.read(&mut buffer[filled..]) {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(count) => filled += count,
            // The socket's timeout may end slightly before the deadline.
            Err(error) if matches!(error.kind(), io::ErrorKind::Interrupted | io::ErrorKind::WouldBlock) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
