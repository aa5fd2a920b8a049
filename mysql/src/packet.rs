//! Framing: three bytes of length, a sequence number, a payload. A payload of 2^24 - 1 bytes or more continues in the
//! next packet.
use std::io::{self, IoSlice, Read, Write};
use std::net::TcpStream;

/// The longest payload of one packet, in bytes; a packet of this length is continued by the next.
pub const MAX_PACKET_PAYLOAD: usize = 0xff_ffff;

/// Bytes of a packet's length and sequence number.
pub const HEAD_BYTES: usize = 4;
/// Bytes that are read from the socket at a time.
const READ_BUFFER_BYTES: usize = 4096;
/// Bytes by which a payload's memory grows as they come.
const GROWTH_BYTES: usize = 16 * 1024;

/// A payload with its sequence numbers.
#[derive(Debug, PartialEq, Eq)]
pub struct Packet {
    /// The sequence number of its first packet.
    pub first: u8,
    /// The sequence number of its last packet.
    pub last: u8,
    /// All its bytes.
    pub payload: Vec<u8>,
}

/// Why no payload could be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The connection ended between two payloads.
    #[error("it was closed by the other side")]
    Closed,
    /// Nothing came in time, not the first byte of a payload.
    #[error("nothing came in time")]
    IdleTimeout,
    /// The connection failed, ended within a payload, or brought only a part of one in time.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The payload is longer than what is accepted.
    #[error("a payload is too long")]
    TooLong,
    /// A continuation came out of sequence.
    #[error("packets came out of order")]
    OutOfOrder,
}

/// Where in a payload a read stands.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ReadPosition {
    BeforePayload,
    InsidePayload,
}

/// Reads payloads, ahead by what the socket has at hand.
pub struct PacketReader {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
    max_payload_bytes: usize,
}

impl PacketReader {
    /// A reader that accepts payloads of up to `max_payload_bytes`.
    pub fn new(max_payload_bytes: usize) -> Self {
        PacketReader { bytes: vec![0; READ_BUFFER_BYTES], start: 0, end: 0, max_payload_bytes }
    }

    /// Whether nothing has been read ahead.
    pub fn is_empty(&self) -> bool {
        self.start == self.end
    }

    /// Reads the next payload.
    ///
    /// # Errors
    /// The connection ended or failed, or the payload is too long or out of order.
    pub fn read_packet(&mut self, mut from: impl Read) -> Result<Packet, ReadError> {
        let (mut payload, mut first, mut expected) = (Vec::new(), 0, None);
        let mut position = ReadPosition::BeforePayload;
        loop {
            let mut head = [0; HEAD_BYTES];
            self.read_exact(&mut from, &mut head, position)?;
            position = ReadPosition::InsidePayload;
            let length = u32::from_le_bytes([head[0], head[1], head[2], 0]) as usize;
            let sequence = head[3];
            match expected {
                None => first = sequence,
                Some(expected) if expected != sequence => return Err(ReadError::OutOfOrder),
                Some(_) => {}
            }
            self.read_payload(&mut from, &mut payload, length)?;
            if length < MAX_PACKET_PAYLOAD {
                return Ok(Packet { first, last: sequence, payload });
            }
            expected = Some(sequence.wrapping_add(1));
        }
    }

    /// Appends the next `length` bytes to a payload. Its memory grows as the bytes come: a length alone, which costs its
    /// sender nothing, must reserve none.
    fn read_payload(
        &mut self,
        mut from: impl Read,
        payload: &mut Vec<u8>,
        length: usize,
    ) -> Result<(), ReadError> {
        let end = payload.len() + length;
        if end > self.max_payload_bytes {
            return Err(ReadError::TooLong);
        }
        while payload.len() < end {
            let start = payload.len();
            payload.resize(end.min(start + GROWTH_BYTES), 0);
            self.read_exact(&mut from, &mut payload[start..], ReadPosition::InsidePayload)?;
        }
        Ok(())
    }

    fn read_exact(
        &mut self,
        mut from: impl Read,
        mut to: &mut [u8],
        mut position: ReadPosition,
    ) -> Result<(), ReadError> {
        while !to.is_empty() {
            if self.is_empty() {
                self.fill(&mut from, position)?;
            }
            position = ReadPosition::InsidePayload;
            let count = to.len().min(self.end - self.start);
            to[..count].copy_from_slice(&self.bytes[self.start..self.start + count]);
            self.start += count;
            to = &mut to[count..];
        }
        Ok(())
    }

    /// Reads some bytes into the empty buffer.
    fn fill(&mut self, mut from: impl Read, position: ReadPosition) -> Result<(), ReadError> {
        let before_payload = position == ReadPosition::BeforePayload;
        let count = loop {
            match from.read(&mut self.bytes) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if before_payload && client_listener::is_timeout(&e) => {
                    return Err(ReadError::IdleTimeout);
                }
                result => break result?,
            }
        };
        (self.start, self.end) = (0, count);
        match count {
            0 if before_payload => Err(ReadError::Closed),
            0 => Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
            _ => Ok(()),
        }
    }
}

/// Appends a payload as packets, and returns the sequence number that follows the last of them.
pub fn push_packets(to: &mut Vec<u8>, mut sequence: u8, payload: &[u8]) -> u8 {
    let mut rest = payload;
    loop {
        let length = rest.len().min(MAX_PACKET_PAYLOAD);
        to.extend_from_slice(&(length as u32).to_le_bytes()[..3]);
        to.push(sequence);
        to.extend_from_slice(&rest[..length]);
        rest = &rest[length..];
        sequence = sequence.wrapping_add(1);
        // A payload that fills its last packet is ended by an empty one.
        if length < MAX_PACKET_PAYLOAD {
            return sequence;
        }
    }
}

/// Hands one command, its parts gathered, to `write`.
///
/// # Errors
/// Those of `write`.
pub fn with_command(
    parts: &[&[u8]],
    write: impl FnOnce(&mut [IoSlice<'_>]) -> io::Result<()>,
) -> io::Result<()> {
    let length: usize = parts.iter().map(|part| part.len()).sum();
    if length >= MAX_PACKET_PAYLOAD {
        let mut packets = Vec::with_capacity(length + 16);
        push_packets(&mut packets, 0, &parts.concat());
        return write(&mut [IoSlice::new(&packets)]);
    }
    let length = (length as u32).to_le_bytes();
    let head = [length[0], length[1], length[2], 0];
    let mut slices = Vec::with_capacity(parts.len() + 1);
    slices.push(IoSlice::new(&head));
    slices.extend(parts.iter().map(|part| IoSlice::new(part)));
    write(&mut slices)
}

/// Writes one command as a client does, its parts gathered.
///
/// # Errors
/// The write failed or timed out.
pub fn write_command(to: &TcpStream, parts: &[&[u8]]) -> io::Result<()> {
    with_command(parts, |slices| routing::socket::write_all_vectored(to, slices))
}

/// Writes packets.
///
/// # Errors
/// The write failed or timed out.
pub fn write_packets(mut to: &TcpStream, packets: &[u8]) -> io::Result<()> {
    to.write_all(packets)
}
