//! The wire between instances: frames of a length and a body (postcard) over TCP on loopback.
//!
//! An instance that has commits to send connects and sends [`Frame::Hello`]; the other answers with
//! [`Frame::Accepted`] or [`Frame::Rejected`]. From then on pushes go one way; confirmations and lease requests the
//! other way. Postcard writes values in the order of declaration and no names: fields and variants may be renamed, but
//! not reordered.
use crate::machine::{Instance, Push, RejectionReason};
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
    Accepted {
        /// Of which start some are held.
        incarnation: u64,
        /// Up to which.
        last_seq: u64,
    },
    /// Its commits are not accepted.
    Rejected(RejectionReason),
    /// What it sends.
    Push(Push),
    /// Commits are held.
    Confirmation {
        /// Up to this one.
        seq: u64,
    },
    /// A lease request.
    LeaseRequest {
        /// By the requester's clock, in microseconds.
        requested_at: i64,
    },
    /// An operator asks for the status: the first and only frame of a connection.
    StatusRequest,
    /// The status, as JSON.
    Status(String),
}

/// Appends a frame to bytes that are to be sent.
///
/// # Errors
/// Where the frame can't be encoded.
pub fn encode(frame: &Frame, bytes: &mut Vec<u8>) -> io::Result<()> {
    let body = postcard::to_stdvec(frame).map_err(io::Error::other)?;
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&body);
    Ok(())
}

/// Writes one frame.
///
/// # Errors
/// Where the frame can't be written.
pub fn write(mut writer: impl Write, frame: &Frame) -> io::Result<()> {
    let mut bytes = Vec::new();
    encode(frame, &mut bytes)?;
    writer.write_all(&bytes)
}

/// Reads one frame with a body of at most `max_bytes`.
///
/// # Errors
/// Where the connection ends, the body is longer, or it is no frame.
pub fn read(mut reader: impl Read, max_bytes: usize) -> io::Result<Frame> {
    let mut header = [0; LENGTH_BYTES];
    reader.read_exact(&mut header)?;
    let length = u32::from_le_bytes(header) as usize;
    if length > max_bytes {
        return Err(io::Error::other(format!("a frame of {length} bytes, {max_bytes} at most are read")));
    }
    // Memory is allocated as bytes come: a length alone must not cost any.
    let mut body = Vec::new();
    if reader.take(length as u64).read_to_end(&mut body)? < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    postcard::from_bytes(&body)
        .map_err(|error| io::Error::other(format!("a frame that can't be read: {error}")))
}
