//! Incremental reading of a response body.
use crate::chunked::ChunkState;
use std::io::{self, BufRead, BufReader, Read};

/// Maximum number of body bytes that one read appends.
const MAX_READ_BYTES: u64 = 1 << 20;

/// How the end of a body is determined.
pub(crate) enum Framing {
    Chunked(ChunkState),
    ContentLength { remaining: u64 },
    UntilClose,
}

impl Framing {
    /// Returns how many bytes can be read now as part of the body; 0 at its end.
    fn readable_bytes(&mut self, from: &mut impl BufRead) -> io::Result<u64> {
        match self {
            Framing::Chunked(state) => state.readable_bytes(from),
            Framing::ContentLength { remaining } => Ok(*remaining),
            Framing::UntilClose => Ok(u64::MAX),
        }
    }

    /// Records that this many bytes of the body have been read.
    fn advance(&mut self, bytes: u64) {
        match self {
            Framing::Chunked(state) => state.advance(bytes),
            Framing::ContentLength { remaining } => *remaining -= bytes,
            Framing::UntilClose => {}
        }
    }
}

/// The body of a response.
pub struct Body<S> {
    from: BufReader<S>,
    framing: Framing,
}

impl<S: Read> Body<S> {
    pub(crate) fn new(from: BufReader<S>, framing: Framing) -> Body<S> {
        Body { from, framing }
    }

    /// Waits for bytes of the body and appends them to `to`. Returns the number of appended bytes; 0 at the
    /// end of the body. The caller has to limit the total size.
    ///
    /// # Errors
    /// Returns the connection's error. Reading can continue after it if the connection is still readable,
    /// because no bytes are lost. Fails with [`io::ErrorKind::UnexpectedEof`] if the connection ends between
    /// two chunks, and with [`io::ErrorKind::InvalidData`] if the chunks are malformed.
    pub fn read_available(&mut self, to: &mut Vec<u8>) -> io::Result<usize> {
        let readable = self.framing.readable_bytes(&mut self.from)?;
        if readable == 0 {
            return Ok(0);
        }
        let buffered = self.from.fill_buf()?;
        let count = buffered.len().min(readable.min(MAX_READ_BYTES) as usize);
        to.extend_from_slice(&buffered[..count]);
        self.from.consume(count);
        self.framing.advance(count as u64);
        Ok(count)
    }
}
