//! Faults of the link between a router and a server, and the bytes on their way to the server.
use crate::time::Micros;
use std::collections::VecDeque;

/// A router and a server, by their indices: one link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkId {
    /// The router.
    pub router: usize,
    /// The server.
    pub server: usize,
}

/// Faults of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkFault {
    /// Nothing that the router writes gets through.
    pub blocks_requests: bool,
    /// Nothing that the server writes gets through.
    pub blocks_answers: bool,
    /// What the router writes takes this long.
    pub request_delay: Micros,
    /// Each answer is cut after so many of its bytes, and the connection is reset.
    pub reset_after: Option<usize>,
    /// Answers arrive byte by byte.
    pub trickles: bool,
}

/// A message that has reached the server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ArrivedMessage {
    /// Its bytes, tag and length included.
    pub bytes: Vec<u8>,
    /// When its first byte arrived at the link.
    pub first_byte_at: Micros,
    /// When its last byte arrived at the link.
    pub last_byte_at: Micros,
}

/// The bytes of one connection on their way to the server, stamped as they arrived at the link.
#[derive(Debug, Default)]
pub struct InboundBuffer {
    /// Bytes that have arrived, those on their way last.
    bytes: Vec<u8>,
    /// How many bytes the server has taken, in all.
    taken: usize,
    /// How many bytes had arrived by when, in all, and when the server may have them.
    stamps: VecDeque<Stamp>,
}

#[derive(Clone, Copy, Debug)]
struct Stamp {
    end: usize,
    arrived_at: Micros,
    available_at: Micros,
}

impl InboundBuffer {
    /// Adds bytes that the router has written.
    pub fn push(&mut self, bytes: &[u8], now: Micros, delay: Micros) {
        self.bytes.extend_from_slice(bytes);
        let end = self.taken + self.bytes.len();
        // A shorter delay does not let bytes overtake.
        let last_available_at = self.stamps.back().map_or(0, |last| last.available_at);
        let available_at = last_available_at.max(now + delay);
        self.stamps.push_back(Stamp { end, arrived_at: now, available_at });
    }

    /// How many of the bytes the server may have by now.
    fn available(&self, now: Micros) -> usize {
        let last = self.stamps.iter().take_while(|stamp| stamp.available_at <= now).last();
        last.map_or(0, |stamp| stamp.end - self.taken)
    }

    /// When the byte at this offset from the front arrived.
    fn arrived_at(&self, offset: usize) -> Micros {
        let position = self.taken + offset;
        self.stamps.iter().find(|stamp| stamp.end > position).map_or(0, |stamp| stamp.arrived_at)
    }

    /// Takes a message off the front once all of it is available; `length` gives the length of the message at the front of
    /// some bytes.
    pub fn take(&mut self, now: Micros, length: impl Fn(&[u8]) -> Option<usize>) -> Option<ArrivedMessage> {
        let available = self.available(now);
        let length = length(&self.bytes[..available]).filter(|length| *length <= available)?;
        let (first_byte_at, last_byte_at) = (self.arrived_at(0), self.arrived_at(length - 1));
        let bytes = self.bytes.drain(..length).collect();
        self.taken += length;
        while self.stamps.front().is_some_and(|stamp| stamp.end <= self.taken) {
            self.stamps.pop_front();
        }
        Some(ArrivedMessage { bytes, first_byte_at, last_byte_at })
    }

    /// When bytes become available that are not yet.
    pub fn next_available_at(&self, now: Micros) -> Option<Micros> {
        self.stamps.iter().map(|stamp| stamp.available_at).find(|at| *at > now)
    }
}
