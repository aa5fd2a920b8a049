//! The wire between instances: frames of a length and a body (postcard) over TCP on loopback.
//!
//! An instance that has commits to send connects and sends [`Frame::Hello`]; the other answers with
//! [`Frame::Welcome`] or [`Frame::Refused`]. From then on pushes go one way; confirmations and lease requests the
//! other way. Postcard writes values in the order of declaration and no names: fields and variants may be renamed, but
//! not reordered.
use crate::machine::{Instance, Push, Why};
use serde::{Deserialize, Serialize};
use std::io::{self, Read, Write};

/// Version of the protocol; both sides must speak the same.
pub const VERSION: u16 = 1;
/// Bytes of the length before a body.
const LENGTH_BYTES: usize = 4;

/// What is sent over a connection between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// The first frame of whoever connects.
    Hello {
        /// [`VERSION`].
        version: u16,
        /// The cluster's name.
        cluster: String,
        /// Who connects.
        from: Instance,
        /// Its start.
        incarnation: u64,
        /// The instance that it looks for.
        to: Instance,
    },
    /// Its commits are accepted.
    Welcome {
        /// Of which start some are held.
        incarnation: u64,
        /// Up to which.
        holds: u64,
    },
    /// Its commits are not accepted.
    Refused(Why),
    /// What it sends.
    Push(Push),
    /// Commits up to this one are held.
    Confirm(u64),
    /// A lease request, by the requester's clock, in microseconds.
    Ask(i64),
    /// An operator asks for the status: the first and only frame of a connection.
    Show,
    /// The status, as JSON.
    Shown(String),
}

/// Appends a frame to bytes that are to be sent.
///
/// # Errors
/// Where the frame can't be encoded.
pub fn push(to: &mut Vec<u8>, frame: &Frame) -> io::Result<()> {
    let body = postcard::to_stdvec(frame).map_err(io::Error::other)?;
    to.extend_from_slice(&(body.len() as u32).to_le_bytes());
    to.extend_from_slice(&body);
    Ok(())
}

/// Writes one frame.
///
/// # Errors
/// Where the frame can't be written.
pub fn write(mut to: impl Write, frame: &Frame) -> io::Result<()> {
    let mut bytes = Vec::new();
    push(&mut bytes, frame)?;
    to.write_all(&bytes)
}

/// Reads one frame with a body of at most `max_bytes`.
///
/// # Errors
/// Where the connection ends, the body is longer, or it is no frame.
pub fn read(mut from: impl Read, max_bytes: usize) -> io::Result<Frame> {
    let mut header = [0; LENGTH_BYTES];
    from.read_exact(&mut header)?;
    let length = u32::from_le_bytes(header) as usize;
    if length > max_bytes {
        return Err(io::Error::other(format!("a frame of {length} bytes, {max_bytes} at most are taken")));
    }
    // Memory is allocated as bytes come: a length alone must not cost any.
    let mut body = Vec::new();
    if from.take(length as u64).read_to_end(&mut body)? < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    postcard::from_bytes(&body)
        .map_err(|error| io::Error::other(format!("a frame that can't be read: {error}")))
}
