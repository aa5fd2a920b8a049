//! Framing: a tag, a length and a body, read in place from one buffer for each connection.
use crate::memory_pool::{MemoryPool, MemoryReservation};
use std::io::{self, Read};
use std::ops::Range;

/// Bytes that a buffer has room for at first.
const INITIAL_BYTES: usize = 1024;
/// Bytes that a buffer may keep room for between two messages, without a reservation.
const MAX_IDLE_BYTES: usize = 16 * 1024;
/// Bytes of a startup message's length and request code.
const STARTUP_HEAD_BYTES: usize = 8;
/// The longest startup message, in bytes.
const MAX_STARTUP_BYTES: usize = 10_000;
/// Bytes of a message's length, which counts itself but not the tag.
const LENGTH_BYTES: usize = 4;
/// Bytes of a message's tag and length.
pub(crate) const HEAD_BYTES: usize = 1 + LENGTH_BYTES;

/// How a peer broke the protocol. The texts reach clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    /// The startup message states a length that none can have.
    #[error("a startup message of an impossible length")]
    StartupLength,
    /// A message states a length that none can have, or one beyond the limit.
    #[error("a message of an impossible length")]
    MessageLength,
    /// The rest of a message did not come in time.
    #[error("half a message")]
    IncompleteMessage,
    /// The messages of all clients take all memory that is meant for them.
    #[error("too much is under way")]
    OutOfMemory,
    /// The client sent more commands ahead of their responses than are accepted.
    #[error("too many commands ahead of their answers")]
    TooManyPipelined,
}

/// Why no message could be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The peer broke the protocol.
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
    /// The connection failed, ended within a message, or brought nothing in time.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// The first message of a connection: a request code and its body.
#[derive(Clone, Copy, Debug)]
pub struct Startup {
    /// The protocol's version, or one of the codes that ask for something else.
    pub code: u32,
    /// The key that a `CancelRequest` names; `None` where the body is not as long as a key.
    pub key: Option<CancelKey>,
}

/// The content of a `BackendKeyData` message, process id and secret, by which a client cancels.
pub type CancelKey = [u8; 8];

/// One message in the buffer.
#[derive(Clone, Debug)]
pub struct Frame {
    /// What kind of message it is.
    pub tag: u8,
    /// Where the message stands in the buffer, with its tag and length.
    pub range: Range<usize>,
}

impl Frame {
    /// Where the message stands without its tag and length.
    pub fn body(&self) -> Range<usize> {
        self.range.start + HEAD_BYTES..self.range.end
    }
}

/// Bytes read ahead from a connection.
pub struct MessageBuffer {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
    max_message_bytes: usize,
    reservation: Option<MemoryReservation>,
}

impl MessageBuffer {
    /// A buffer for messages whose length field states up to `max_message_bytes`.
    pub fn new(max_message_bytes: usize) -> Self {
        MessageBuffer {
            bytes: vec![0; INITIAL_BYTES],
            start: 0,
            end: 0,
            max_message_bytes,
            reservation: None,
        }
    }

    /// The same for a client: the memory of a long message is reserved in the pool.
    pub fn pooled(max_message_bytes: usize, pool: &MemoryPool) -> Self {
        let reservation = Some(MemoryReservation::new(pool));
        MessageBuffer { reservation, ..MessageBuffer::new(max_message_bytes) }
    }

    /// The bytes of a frame's range; valid until the next read.
    ///
    /// # Panics
    /// If the range does not come from the last frame that was read.
    pub fn get(&self, range: Range<usize>) -> &[u8] {
        &self.bytes[range]
    }

    /// Whether nothing has been read ahead.
    pub fn is_empty(&self) -> bool {
        self.start == self.end
    }

    /// What has been read ahead, behind the last message.
    pub fn read_ahead(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// How many bytes of memory it takes.
    pub fn allocated_bytes(&self) -> usize {
        self.bytes.capacity()
    }

    /// Reads the first message of a connection; `None` at its end.
    ///
    /// # Errors
    /// The connection failed or the message has an impossible length.
    pub fn read_startup(&mut self, mut from: impl Read) -> Result<Option<Startup>, ReadError> {
        if !self.fill(&mut from, STARTUP_HEAD_BYTES)? {
            return Ok(None);
        }
        let length = self.number_at(self.start) as usize;
        if !(STARTUP_HEAD_BYTES..=MAX_STARTUP_BYTES).contains(&length) {
            return Err(ProtocolError::StartupLength.into());
        }
        if !self.fill(&mut from, length)? {
            return Ok(None);
        }
        let code = self.number_at(self.start + LENGTH_BYTES);
        let body = self.start + STARTUP_HEAD_BYTES..self.start + length;
        let key = self.bytes[body].try_into().ok();
        self.start += length;
        Ok(Some(Startup { code, key }))
    }

    /// Reads the next message; `None` at the connection's end between two messages.
    ///
    /// # Errors
    /// The connection failed or ended within a message, the message has an impossible length, or there is no memory left
    /// for it.
    pub fn read_message(&mut self, mut from: impl Read) -> Result<Option<Frame>, ReadError> {
        if self.is_empty() {
            self.reset();
        }
        if !self.fill(&mut from, HEAD_BYTES)? {
            return Ok(None);
        }
        let length = self.number_at(self.start + 1) as usize;
        if length < LENGTH_BYTES || length > self.max_message_bytes {
            return Err(ProtocolError::MessageLength.into());
        }
        self.fill(&mut from, length + 1)?;
        let range = self.start..self.start + length + 1;
        self.start = range.end;
        Ok(Some(Frame { tag: self.bytes[range.start], range }))
    }

    /// Starts at the front again, and frees the memory of a long message: one must not take it for as long as the
    /// connection lives.
    fn reset(&mut self) {
        (self.start, self.end) = (0, 0);
        if self.bytes.len() > MAX_IDLE_BYTES {
            self.bytes = vec![0; INITIAL_BYTES];
            self.reservation.iter_mut().for_each(MemoryReservation::release);
        }
    }

    /// Reads until the buffer holds `needed` bytes; `false` at an orderly end of the connection before the first of them.
    fn fill(&mut self, mut from: impl Read, needed: usize) -> Result<bool, ReadError> {
        if self.start + needed > self.bytes.len() {
            self.bytes.copy_within(self.start..self.end, 0);
            (self.start, self.end) = (0, self.end - self.start);
        }
        while self.end - self.start < needed {
            if self.end == self.bytes.len() {
                self.grow(needed)?;
            }
            match from.read(&mut self.bytes[self.end..]) {
                Ok(0) if self.is_empty() => return Ok(false),
                Ok(0) => return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
                Ok(count) => self.end += count,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e.into()),
            }
        }
        Ok(true)
    }

    /// Doubles the buffer at most. It grows as the bytes come: a length alone, which costs its sender nothing, must
    /// reserve no memory.
    fn grow(&mut self, needed: usize) -> Result<(), ProtocolError> {
        let size = (2 * self.bytes.len()).min(needed.max(2 * INITIAL_BYTES));
        if size > MAX_IDLE_BYTES && self.reservation.as_mut().is_some_and(|r| !r.grow_to(size)) {
            return Err(ProtocolError::OutOfMemory);
        }
        self.bytes.resize(size, 0);
        Ok(())
    }

    fn number_at(&self, at: usize) -> u32 {
        let bytes = &self.bytes[at..at + LENGTH_BYTES];
        u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
    }
}
