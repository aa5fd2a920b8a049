//! What may be wrong with the link between a router and a server, and the bytes on their way to the server.
use crate::history::Micros;
use std::collections::VecDeque;

/// What is wrong with a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkFault {
    /// Nothing that the router writes gets through.
    pub deaf_there: bool,
    /// Nothing that the server writes gets through.
    pub deaf_back: bool,
    /// What the router writes takes this long.
    pub delay: Micros,
    /// Each answer is cut after so many of its bytes, and the connection is reset.
    pub reset_after: Option<usize>,
    /// Answers come byte by byte.
    pub trickle: bool,
}

/// The bytes of one connection on their way to the server, stamped as they came.
#[derive(Debug, Default)]
pub struct Inbound {
    /// Bytes that have come, those on their way last.
    bytes: Vec<u8>,
    /// How many of them have been taken by the server so far, in all.
    taken: usize,
    /// How many bytes had come by when, in all, and when the server may have them.
    stamps: VecDeque<Stamp>,
}

#[derive(Clone, Copy, Debug)]
struct Stamp {
    end: usize,
    came_at: Micros,
    due_at: Micros,
}

impl Inbound {
    /// Takes bytes that the router has written.
    pub fn push(&mut self, bytes: &[u8], now: Micros, delay: Micros) {
        self.bytes.extend_from_slice(bytes);
        let end = self.taken + self.bytes.len();
        // A shorter delay does not let bytes overtake.
        let due_at = self.stamps.back().map_or(0, |last| last.due_at).max(now + delay);
        self.stamps.push_back(Stamp { end, came_at: now, due_at });
    }

    /// How many of the bytes the server may have by now.
    fn available(&self, now: Micros) -> usize {
        let due = self.stamps.iter().take_while(|stamp| stamp.due_at <= now).last();
        due.map_or(0, |stamp| stamp.end - self.taken)
    }

    /// When the byte at this place from the front came.
    fn came_at(&self, place: usize) -> Micros {
        let place = self.taken + place;
        self.stamps.iter().find(|stamp| stamp.end > place).map_or(0, |stamp| stamp.came_at)
    }

    /// Takes a whole message of this length off the front, where the server may have it: its bytes, and when its first and
    /// its last byte came.
    pub fn take(
        &mut self,
        now: Micros,
        length: impl Fn(&[u8]) -> Option<usize>,
    ) -> Option<(Vec<u8>, Micros, Micros)> {
        let available = self.available(now);
        let length = length(&self.bytes[..available]).filter(|length| *length <= available)?;
        let (first, last) = (self.came_at(0), self.came_at(length - 1));
        let bytes = self.bytes.drain(..length).collect();
        self.taken += length;
        while self.stamps.front().is_some_and(|stamp| stamp.end <= self.taken) {
            self.stamps.pop_front();
        }
        Some((bytes, first, last))
    }

    /// When bytes become available that are not yet.
    pub fn next_due(&self, now: Micros) -> Option<Micros> {
        self.stamps.iter().map(|stamp| stamp.due_at).find(|due| *due > now)
    }
}

/// The length of the startup message at the front.
pub fn startup_length(bytes: &[u8]) -> Option<usize> {
    bytes.first_chunk::<4>().map(|head| (u32::from_be_bytes(*head) as usize).max(8))
}

/// The length of the message at the front, tag included.
pub fn message_length(bytes: &[u8]) -> Option<usize> {
    let head = bytes.first_chunk::<5>()?;
    Some(1 + (u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize).max(4))
}
