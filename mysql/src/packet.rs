//! Framing of packets. Each packet consists of a length of three bytes, a sequence number and a payload. A
//! payload of 2^24 - 1 bytes or more continues in the next packet.
use client_listener::memory::{MemoryPool, MemoryReservation};
use std::io::{self, IoSlice, Read, Write};
use std::net::TcpStream;

/// Maximum payload length of one packet, in bytes. A packet of this length is continued by the next packet.
pub const MAX_PACKET_PAYLOAD: usize = 0xff_ffff;

/// Length of a packet's header, which holds the payload length and the sequence number.
pub const PACKET_HEADER_BYTES: usize = 4;
/// Size of the buffer for reads from the socket.
const READ_BUFFER_BYTES: usize = 4096;
/// Memory of a packet besides its payload, in bytes.
const PACKET_RECORD_BYTES: usize = 128;
/// Number of bytes by which a payload's buffer grows while the payload is read.
const PAYLOAD_GROWTH_BYTES: usize = 16 * 1024;

/// A payload and the sequence numbers of its packets.
#[derive(Debug)]
pub struct Packet {
    /// Sequence number of the payload's first packet.
    pub first_sequence: u8,
    /// Sequence number of the payload's last packet.
    pub last_sequence: u8,
    /// The complete payload, without packet headers.
    pub payload: Vec<u8>,
    /// Memory of the payload, if the reader reserves it.
    memory: Option<MemoryReservation>,
}

impl Packet {
    /// Returns the number of bytes that are reserved for the payload.
    pub fn reserved_bytes(&self) -> usize {
        self.memory.as_ref().map_or(0, MemoryReservation::bytes)
    }
}

/// Reason why no payload could be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The peer closed the connection between two payloads.
    #[error("connection closed by the peer")]
    Closed,
    /// The read timed out before the first byte of a payload.
    #[error("timed out before the first byte of a payload")]
    IdleTimeout,
    /// The connection failed, or it was closed or timed out within a payload.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The payload exceeds the reader's limit.
    #[error("payload exceeds the maximum length")]
    TooLong,
    /// There is no memory for the payload.
    #[error("no memory is left for the payload")]
    OutOfMemory,
    /// A continuation packet has an unexpected sequence number.
    #[error("packet has an unexpected sequence number")]
    OutOfOrder,
}

/// Whether a part of the current payload has been read.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ReadState {
    BeforePayload,
    WithinPayload,
}

/// Reads payloads through a buffer, which may hold bytes of later payloads.
pub struct PacketReader {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
    max_payload_bytes: usize,
    /// Pool from which the memory of payloads is reserved.
    pool: Option<MemoryPool>,
}

impl PacketReader {
    /// Creates a reader that accepts payloads of up to `max_payload_bytes`.
    pub fn new(max_payload_bytes: usize) -> Self {
        PacketReader { bytes: vec![0; READ_BUFFER_BYTES], start: 0, end: 0, max_payload_bytes, pool: None }
    }

    /// Creates a reader for a client's commands, which reserves the memory of payloads in the pool.
    pub fn pooled(max_payload_bytes: usize, pool: &MemoryPool) -> Self {
        PacketReader { pool: Some(pool.clone()), ..PacketReader::new(max_payload_bytes) }
    }

    /// Returns whether the buffer holds no unread bytes.
    pub fn is_empty(&self) -> bool {
        self.start == self.end
    }

    /// Reads the next payload.
    ///
    /// # Errors
    /// The connection was closed, failed or timed out, the payload is too long, or its packets are out of
    /// order.
    pub fn read_packet(&mut self, mut from: impl Read) -> Result<Packet, ReadError> {
        let (mut payload, mut first_sequence, mut expected) = (Vec::new(), 0, None);
        let mut state = ReadState::BeforePayload;
        let mut memory = self.pool.as_ref().map(MemoryReservation::new);
        loop {
            let mut header = [0; PACKET_HEADER_BYTES];
            self.read_exact(&mut from, &mut header, state)?;
            state = ReadState::WithinPayload;
            let length = u32::from_le_bytes([header[0], header[1], header[2], 0]) as usize;
            let sequence = header[3];
            match expected {
                None => first_sequence = sequence,
                Some(expected) if expected != sequence => return Err(ReadError::OutOfOrder),
                Some(_) => {}
            }
            self.read_payload(&mut from, &mut payload, &mut memory, length)?;
            if length < MAX_PACKET_PAYLOAD {
                return Ok(Packet { first_sequence, last_sequence: sequence, payload, memory });
            }
            expected = Some(sequence.wrapping_add(1));
        }
    }

    /// Appends the next `length` bytes to a payload. The buffer grows as bytes arrive: otherwise a peer could
    /// make the router allocate memory by sending only a large length.
    fn read_payload(
        &mut self,
        mut from: impl Read,
        payload: &mut Vec<u8>,
        memory: &mut Option<MemoryReservation>,
        length: usize,
    ) -> Result<(), ReadError> {
        let end = payload.len() + length;
        if end > self.max_payload_bytes {
            return Err(ReadError::TooLong);
        }
        while payload.len() < end {
            let start = payload.len();
            let next_end = end.min(start + PAYLOAD_GROWTH_BYTES);
            if let Some(memory) = memory {
                if !memory.grow_message_to(PACKET_RECORD_BYTES + next_end) {
                    return Err(ReadError::OutOfMemory);
                }
                payload.reserve_exact(next_end - start);
            }
            payload.resize(next_end, 0);
            self.read_exact(&mut from, &mut payload[start..], ReadState::WithinPayload)?;
        }
        Ok(())
    }

    fn read_exact(
        &mut self,
        mut from: impl Read,
        mut to: &mut [u8],
        mut state: ReadState,
    ) -> Result<(), ReadError> {
        while !to.is_empty() {
            if self.is_empty() {
                self.fill(&mut from, state)?;
            }
            state = ReadState::WithinPayload;
            let count = to.len().min(self.end - self.start);
            to[..count].copy_from_slice(&self.bytes[self.start..self.start + count]);
            self.start += count;
            to = &mut to[count..];
        }
        Ok(())
    }

    /// Refills the empty buffer from the socket.
    fn fill(&mut self, mut from: impl Read, state: ReadState) -> Result<(), ReadError> {
        let before_payload = state == ReadState::BeforePayload;
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

/// Appends a payload as packets. Returns the sequence number that follows the last packet.
pub fn push_packets(to: &mut Vec<u8>, mut sequence: u8, payload: &[u8]) -> u8 {
    let mut rest = payload;
    loop {
        let length = rest.len().min(MAX_PACKET_PAYLOAD);
        to.extend_from_slice(&(length as u32).to_le_bytes()[..3]);
        to.push(sequence);
        to.extend_from_slice(&rest[..length]);
        rest = &rest[length..];
        sequence = sequence.wrapping_add(1);
        // If the payload fills its last packet, an empty packet terminates it.
        if length < MAX_PACKET_PAYLOAD {
            return sequence;
        }
    }
}

/// Frames one command, whose payload is the concatenation of `parts`, and passes the bytes to `write`.
///
/// # Errors
/// Returns the error of `write`.
pub fn frame_command(
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
    let header = [length[0], length[1], length[2], 0];
    let mut slices = Vec::with_capacity(parts.len() + 1);
    slices.push(IoSlice::new(&header));
    slices.extend(parts.iter().map(|part| IoSlice::new(part)));
    write(&mut slices)
}

/// Writes one command, whose payload is the concatenation of `parts`.
///
/// # Errors
/// The write failed or timed out.
pub fn write_command(to: &TcpStream, parts: &[&[u8]]) -> io::Result<()> {
    frame_command(parts, |slices| routing::socket::write_all_vectored(to, slices))
}

/// Writes encoded packets.
///
/// # Errors
/// The write failed or timed out.
pub fn write_packets(mut to: &TcpStream, packets: &[u8]) -> io::Result<()> {
    to.write_all(packets)
}
