//! What clients and nodes send each other: a hello of a magic and a version in each direction, then frames of a length
//! (four bytes, little-endian) and a message in the postcard format. A frame has a bound, and the message in it must
//! end where the frame does.
mod messages;

pub use messages::{Consistency, ReadHeader, Request, Response, WatchPosition};

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};
use thiserror::Error;

/// A protocol in these frames: what the hello of each side consists of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Protocol {
    /// Names the protocol.
    pub magic: [u8; 4],
    /// The version of its messages; only the same one is accepted.
    pub version: u16,
}

/// The protocol between the store's nodes and their clients.
pub const STORE_PROTOCOL: Protocol = Protocol { magic: *b"DVST", version: 1 };

/// The longest message, in bytes. The longest one that can't be split is the change that removes all keys of an ended
/// lease; it stays far below.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// A list of keys is sent in parts. A part ends with the entry that takes it above this number of bytes.
pub const PART_BYTES: usize = 256 << 10;
/// The receive buffer grows by this many bytes at a time, once those before have come.
const BUFFER_STEP_BYTES: usize = 64 << 10;
/// The length at the start of a frame, which does not count itself.
const LENGTH_BYTES: usize = 4;
/// A hello: four bytes of magic, and the version in two, little-endian.
const HELLO_BYTES: usize = 6;

/// Why a connection can't be used any more.
#[derive(Debug, Error)]
pub enum WireError {
    /// The connection has failed or ended, or a timeout has passed.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    /// The other side speaks another protocol.
    #[error("the other side is no store of this kind; look at the address")]
    WrongProtocol,
    /// The other side speaks another version of the protocol.
    #[error(
        "the other side speaks version {0}, this one {own}; run the same program on both",
        own = STORE_PROTOCOL.version
    )]
    WrongVersion(u16),
    /// A message is longer than [`MAX_MESSAGE_BYTES`].
    #[error("a message of {0} bytes; {MAX_MESSAGE_BYTES} are allowed")]
    TooLong(usize),
    /// Bytes that are no message.
    #[error("bytes that are no message: {0}")]
    Malformed(#[from] postcard::Error),
}

/// Sends the hello of a protocol.
///
/// # Errors
/// Where the connection fails.
pub fn send_hello(mut socket: &TcpStream, protocol: Protocol) -> io::Result<()> {
    let Protocol { magic: [m0, m1, m2, m3], version } = protocol;
    let [low, high] = version.to_le_bytes();
    socket.write_all(&[m0, m1, m2, m3, low, high])
}

/// Receives the other side's hello, within a time.
///
/// # Errors
/// [`WireError::WrongProtocol`] and [`WireError::WrongVersion`] where it differs, [`WireError::Io`] where none comes.
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

/// Sends a message. How long it may take is the write timeout of the socket, which is the caller's.
///
/// # Errors
/// [`WireError::TooLong`] and [`WireError::Malformed`] where nothing was sent, [`WireError::Io`] where the connection
/// fails.
pub fn send(mut socket: &TcpStream, message: &impl Serialize) -> Result<(), WireError> {
    let mut frame = postcard::to_extend(message, vec![0; LENGTH_BYTES])?;
    let length = frame.len() - LENGTH_BYTES;
    if length > MAX_MESSAGE_BYTES {
        return Err(WireError::TooLong(length));
    }
    frame[..LENGTH_BYTES].copy_from_slice(&(length as u32).to_le_bytes());
    Ok(socket.write_all(&frame)?)
}

/// Receives the next message: its first byte within `idle_timeout`, and the rest within `message_timeout` after that.
///
/// # Errors
/// [`WireError::Io`] where it does not come in time, [`WireError::TooLong`] and [`WireError::Malformed`].
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
        // A peer must not make this side allocate more than it sends.
        body.resize(length.min(filled + BUFFER_STEP_BYTES), 0);
        read_exact_until(socket, &mut body[filled..], deadline)?;
    }
    match postcard::take_from_bytes(&body)? {
        (message, []) => Ok(message),
        // Postcard has no error of its own for bytes after the message.
        _ => Err(WireError::Malformed(postcard::Error::SerdeDeCustom)),
    }
}

/// Fills the buffer by the deadline. The socket's own timeout would begin again with each read, which a peer that sends
/// one byte at a time could use to hold the connection for ever.
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
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
