//! Message framing: each message is a tag, a length and a body, parsed in place in a buffer per connection.
use client_listener::memory::{ClientMemory, MemoryPool, MemoryReservation, ResponseMemory};
use std::io::{self, Read};
use std::ops::Range;
use std::time::Instant;

/// Initial size of a buffer, in bytes.
const INITIAL_BYTES: usize = 1024;
/// Number of copies of a long response that its connection holds: the buffer, and the messages for the client.
const RESPONSE_COPIES: usize = 2;
/// Size of the header of a startup message, in bytes: its length and its request code.
const STARTUP_HEADER_BYTES: usize = 8;
/// Maximum length of a startup message, in bytes.
const MAX_STARTUP_BYTES: usize = 10_000;
/// Size of a message's length field, in bytes. The length includes the field itself, but not the tag.
const LENGTH_BYTES: usize = 4;
/// Size of a message header, in bytes: the tag and the length.
pub(crate) const HEADER_BYTES: usize = 1 + LENGTH_BYTES;

/// How the remote side violated the protocol. The texts are sent to clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    /// The length of the startup message is out of range.
    #[error("a startup message of an impossible length")]
    StartupLength,
    /// The length of a message is below the minimum or above the limit.
    #[error("a message of an impossible length")]
    MessageLength,
    /// The rest of a message was not received in time.
    #[error("half a message")]
    IncompleteMessage,
    /// The memory for messages of all clients is used up.
    #[error("too much is under way")]
    OutOfMemory,
    /// The client sent more commands without waiting for responses than are accepted.
    #[error("too many commands ahead of their answers")]
    TooManyPipelined,
}

/// Why a message could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The remote side violated the protocol.
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
    /// The connection failed, ended within a message, or no bytes were received in time.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// The first message of a connection: a request code, and the cancel key of a `CancelRequest`.
#[derive(Clone, Copy, Debug)]
pub struct Startup {
    /// The protocol version, or the code of a request such as `SSLRequest` or `CancelRequest`.
    pub code: u32,
    /// The key in a `CancelRequest`; `None` if the body does not have the length of a key.
    pub key: Option<CancelKey>,
}

/// The content of a `BackendKeyData` message (process id and secret), which a client sends back to cancel a
/// request.
pub type CancelKey = [u8; 8];

/// The tag and range of one message in the buffer.
#[derive(Clone, Debug)]
pub struct Frame {
    /// The tag, which identifies the type of the message.
    pub tag: u8,
    /// Range of the message in the buffer, including its tag and length.
    pub range: Range<usize>,
}

impl Frame {
    /// Returns the range of the message's body, without its tag and length.
    pub fn body(&self) -> Range<usize> {
        self.range.start + HEADER_BYTES..self.range.end
    }
}

/// Receive buffer of a connection, which may hold bytes past the current message.
pub struct MessageBuffer {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
    max_message_bytes: usize,
    memory: BufferMemory,
}

/// Where the memory of a buffer comes from that is larger than initially.
enum BufferMemory {
    /// It is not reserved: the maximum message is short, or the number of buffers is bounded.
    Unreserved,
    /// The message of a client. Without memory for it, reading fails.
    Message(MemoryReservation),
    /// The response to a client's request. Reading waits for the memory.
    Response(ResponseBudget),
}

/// Memory for the response that a buffer reads.
struct ResponseBudget {
    client: ClientMemory,
    /// Time until which the response is of use.
    deadline: Instant,
    reserved: Option<ResponseMemory>,
}

impl ResponseBudget {
    /// Reserves memory for a message of this length at once, so that no response waits for memory while it holds some.
    fn reserve(&mut self, bytes: usize) -> bool {
        let bytes = RESPONSE_COPIES * bytes;
        if self.reserved.as_ref().is_none_or(|reserved| reserved.bytes() < bytes) {
            self.reserved = None;
            self.reserved = self.client.reserve_response(bytes, self.deadline);
        }
        self.reserved.is_some()
    }
}

impl MessageBuffer {
    /// Creates a buffer for messages whose length field is at most `max_message_bytes`.
    pub fn new(max_message_bytes: usize) -> Self {
        MessageBuffer {
            bytes: vec![0; INITIAL_BYTES],
            start: 0,
            end: 0,
            max_message_bytes,
            memory: BufferMemory::Unreserved,
        }
    }

    /// Creates a buffer for a client connection, which reserves the memory of long messages in the pool.
    pub fn pooled(max_message_bytes: usize, pool: &MemoryPool) -> Self {
        let memory = BufferMemory::Message(MemoryReservation::new(pool));
        MessageBuffer { memory, ..MessageBuffer::new(max_message_bytes) }
    }

    /// From now on, reserves the memory of long messages for the responses of a client. Reading waits for the memory until
    /// the deadline.
    pub fn begin_response(&mut self, client: &ClientMemory, deadline: Instant) {
        self.memory =
            BufferMemory::Response(ResponseBudget { client: client.clone(), deadline, reserved: None });
    }

    /// Ends the response that [`MessageBuffer::begin_response`] began. Frees the buffer of a long one, and returns what
    /// was reserved for it.
    pub fn end_response(&mut self) -> Option<ResponseMemory> {
        if self.is_empty() {
            self.reset();
        }
        match std::mem::replace(&mut self.memory, BufferMemory::Unreserved) {
            BufferMemory::Response(budget) => budget.reserved,
            BufferMemory::Unreserved | BufferMemory::Message(_) => None,
        }
    }

    /// Returns the bytes in a frame's range. The range is valid until the next read.
    ///
    /// # Panics
    /// Panics if the range is not that of the last frame that was read.
    pub fn get(&self, range: Range<usize>) -> &[u8] {
        &self.bytes[range]
    }

    /// Returns whether the buffer holds no bytes after the last message.
    pub fn is_empty(&self) -> bool {
        self.start == self.end
    }

    /// Returns the bytes that were read after the last message.
    pub fn read_ahead(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// Returns the allocated size of the buffer, in bytes.
    pub fn allocated_bytes(&self) -> usize {
        self.bytes.capacity()
    }

    /// Reads the first message of a connection; returns `None` at end of stream.
    ///
    /// # Errors
    /// Fails if the connection fails or the length of the message is out of range.
    pub fn read_startup(&mut self, mut from: impl Read) -> Result<Option<Startup>, ReadError> {
        if !self.fill(&mut from, STARTUP_HEADER_BYTES)? {
            return Ok(None);
        }
        let length = self.u32_at(self.start) as usize;
        if !(STARTUP_HEADER_BYTES..=MAX_STARTUP_BYTES).contains(&length) {
            return Err(ProtocolError::StartupLength.into());
        }
        if !self.fill(&mut from, length)? {
            return Ok(None);
        }
        let code = self.u32_at(self.start + LENGTH_BYTES);
        let body = self.start + STARTUP_HEADER_BYTES..self.start + length;
        let key = self.bytes[body].try_into().ok();
        self.start += length;
        Ok(Some(Startup { code, key }))
    }

    /// Reads the next message; returns `None` at end of stream between two messages.
    ///
    /// # Errors
    /// Fails if the connection fails or ends within a message, the length of the message is out of range, or
    /// no memory is left for it.
    pub fn read_message(&mut self, mut from: impl Read) -> Result<Option<Frame>, ReadError> {
        if self.is_empty() {
            self.reset();
        }
        if !self.fill(&mut from, HEADER_BYTES)? {
            return Ok(None);
        }
        let length = self.u32_at(self.start + 1) as usize;
        if length < LENGTH_BYTES || length > self.max_message_bytes {
            return Err(ProtocolError::MessageLength.into());
        }
        self.fill(&mut from, length + 1)?;
        let range = self.start..self.start + length + 1;
        self.start = range.end;
        Ok(Some(Frame { tag: self.bytes[range.start], range }))
    }

    /// Resets the buffer to its start, and frees the memory of a long message, which must not be occupied for
    /// the lifetime of the connection.
    fn reset(&mut self) {
        (self.start, self.end) = (0, 0);
        if self.bytes.len() > INITIAL_BYTES {
            self.bytes = vec![0; INITIAL_BYTES];
            if let BufferMemory::Message(reservation) = &mut self.memory {
                reservation.release();
            }
        }
    }

    /// Reads until the buffer holds `needed` bytes; returns `false` at end of stream before the first of
    /// them.
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

    /// Grows the buffer, at most to twice its size. A buffer grows only as bytes arrive, because a length
    /// field alone costs its sender nothing and must not reserve memory.
    fn grow(&mut self, needed: usize) -> Result<(), ProtocolError> {
        let size = (2 * self.bytes.len()).min(needed.max(2 * INITIAL_BYTES));
        let has_memory = match &mut self.memory {
            BufferMemory::Unreserved => true,
            BufferMemory::Message(reservation) => reservation.grow_message_to(size),
            BufferMemory::Response(budget) => budget.reserve(needed.max(size)),
        };
        if !has_memory {
            return Err(ProtocolError::OutOfMemory);
        }
        self.bytes.resize(size, 0);
        Ok(())
    }

    fn u32_at(&self, offset: usize) -> u32 {
        let bytes = &self.bytes[offset..offset + LENGTH_BYTES];
        u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
    }
}
