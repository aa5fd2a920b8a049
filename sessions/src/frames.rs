//! The wire protocol between instances: frames of a length and a body (postcard) over TCP on loopback.
//!
//! An instance that has commits to send connects and sends [`Frame::Hello`]; the other instance responds with
//! [`Frame::Accepted`] or [`Frame::Rejected`]. After that the connecting instance sends pushes, and the
//! accepting one sends confirmations and lease requests. Postcard encodes values in declaration order,
//! without names: fields and variants may be renamed, but not reordered.
use crate::machine::{Instance, Push, RejectionReason};
use serde::{Deserialize, Serialize};
use std::io::{self, Read, Write};

/// Version of the protocol; both instances must use the same one.
pub const VERSION: u16 = 1;
/// Size of the length field before each body, in bytes.
const LENGTH_BYTES: usize = 4;

/// A message on a connection between instances, or between an operator's tool and an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// The first frame of the instance that connects.
    Hello {
        /// The sender's protocol version ([`VERSION`]).
        version: u16,
        /// The name of the sender's cluster.
        cluster: String,
        /// The instance that connects.
        from: Instance,
        /// The connecting instance's incarnation.
        incarnation: u64,
        /// The instance that is expected at this address.
        to: Instance,
    },
    /// The connecting instance's commits are accepted.
    Accepted {
        /// The newest incarnation of the connecting instance that the responder knows.
        incarnation: u64,
        /// The number of the newest commit of incarnation `incarnation` that the responder has stored; 0 if
        /// none.
        last_seq: u64,
    },
    /// The connecting instance's commits are rejected.
    Rejected(RejectionReason),
    /// Commits, a part of a snapshot, or a lease grant from the connecting instance.
    Push(Push),
    /// Confirms that pushed commits have been received and stored.
    Confirmation {
        /// The newest confirmed commit.
        seq: u64,
    },
    /// Requests a lease from the connecting instance.
    LeaseRequest {
        /// When the lease was requested, by the requester's clock, in microseconds.
        requested_at: i64,
    },
    /// Requests the instance's status: the first and only frame of an operator's connection.
    StatusRequest,
    /// The instance's status as JSON.
    Status(String),
}

/// Appends an encoded frame to `bytes`.
///
/// # Errors
/// If the frame can't be encoded.
pub fn encode(frame: &Frame, bytes: &mut Vec<u8>) -> io::Result<()> {
    let body = postcard::to_stdvec(frame).map_err(io::Error::other)?;
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&body);
    Ok(())
}

/// Writes one frame.
///
/// # Errors
/// If the frame can't be encoded or written.
pub fn write(mut writer: impl Write, frame: &Frame) -> io::Result<()> {
    let mut bytes = Vec::new();
    encode(frame, &mut bytes)?;
    writer.write_all(&bytes)
}

/// Reads one frame with a body of at most `max_bytes`.
///
/// # Errors
/// If the connection ends, the body is longer than `max_bytes`, or the body can't be decoded.
pub fn read(mut reader: impl Read, max_bytes: usize) -> io::Result<Frame> {
    let mut header = [0; LENGTH_BYTES];
    reader.read_exact(&mut header)?;
    let length = u32::from_le_bytes(header) as usize;
    if length > max_bytes {
        return Err(io::Error::other(format!("frame of {length} bytes exceeds {max_bytes} bytes")));
    }
    // Memory is allocated only as bytes are received, so that a forged length can't force a large allocation.
    let mut body = Vec::new();
    if reader.take(length as u64).read_to_end(&mut body)? < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    postcard::from_bytes(&body).map_err(|error| io::Error::other(format!("frame can't be decoded: {error}")))
}
