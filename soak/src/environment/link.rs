//! Faults of the link between a router and a server, and the buffer of bytes on their way to the server.
use crate::time::Micros;
use std::collections::VecDeque;

/// Identifies the link between a router and a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkId {
    /// The index of the router on the link.
    pub router: usize,
    /// The index of the server on the link.
    pub server: usize,
}

/// The faults of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkFault {
    /// The link forwards nothing that the router writes.
    pub blocks_requests: bool,
    /// The link forwards nothing that the server writes.
    pub blocks_responses: bool,
    /// The delay of the bytes that the router writes.
    pub request_delay: Micros,
    /// The number of response bytes after which the link resets the connection, if more are pending.
    pub reset_after: Option<usize>,
    /// The link delivers responses one byte at a time.
    pub trickles: bool,
}

/// A message that has reached the server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ArrivedMessage {
    /// The message's bytes, including its tag and length.
    pub bytes: Vec<u8>,
    /// When the message's first byte arrived at the link.
    pub first_byte_at: Micros,
    /// When the message's last byte arrived at the link.
    pub last_byte_at: Micros,
}

/// The bytes of a connection on their way to the server, with the times at which they arrived at the link.
#[derive(Debug, Default)]
pub struct InboundBuffer {
    /// Bytes that have arrived at the link and that the server has not taken, in order.
    bytes: Vec<u8>,
    /// The total number of bytes that the server has taken.
    consumed_bytes: usize,
    /// The arrival and availability times of the buffered bytes.
    arrivals: VecDeque<Arrival>,
}

#[derive(Clone, Copy, Debug)]
struct Arrival {
    end: usize,
    arrived_at: Micros,
    available_at: Micros,
}

impl InboundBuffer {
    /// Adds bytes that the router has written.
    pub fn push(&mut self, bytes: &[u8], now: Micros, delay: Micros) {
        self.bytes.extend_from_slice(bytes);
        let end = self.consumed_bytes + self.bytes.len();
        // Bytes with a shorter delay must not overtake earlier ones.
        let last_available_at = self.arrivals.back().map_or(0, |last| last.available_at);
        let available_at = last_available_at.max(now + delay);
        self.arrivals.push_back(Arrival { end, arrived_at: now, available_at });
    }

    /// Returns how many buffered bytes are available to the server.
    fn available(&self, now: Micros) -> usize {
        let last = self.arrivals.iter().take_while(|stamp| stamp.available_at <= now).last();
        last.map_or(0, |stamp| stamp.end - self.consumed_bytes)
    }

    /// Returns when the byte at this offset of the buffer arrived at the link.
    fn arrived_at(&self, offset: usize) -> Micros {
        let position = self.consumed_bytes + offset;
        self.arrivals.iter().find(|stamp| stamp.end > position).map_or(0, |stamp| stamp.arrived_at)
    }

    /// Removes the first message from the buffer if it is completely available. `length` returns the length
    /// of the message at the start of a byte slice.
    pub fn take(&mut self, now: Micros, length: impl Fn(&[u8]) -> Option<usize>) -> Option<ArrivedMessage> {
        let available = self.available(now);
        let length = length(&self.bytes[..available]).filter(|length| *length <= available)?;
        let (first_byte_at, last_byte_at) = (self.arrived_at(0), self.arrived_at(length - 1));
        let bytes = self.bytes.drain(..length).collect();
        self.consumed_bytes += length;
        while self.arrivals.front().is_some_and(|stamp| stamp.end <= self.consumed_bytes) {
            self.arrivals.pop_front();
        }
        Some(ArrivedMessage { bytes, first_byte_at, last_byte_at })
    }

    /// Returns when the next bytes become available.
    pub fn next_available_at(&self, now: Micros) -> Option<Micros> {
        self.arrivals.iter().map(|stamp| stamp.available_at).find(|at| *at > now)
    }
}
