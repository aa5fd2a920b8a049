//! The body of a response, as it comes.
use crate::chunked::ChunkPosition;
use std::io::{self, BufRead, BufReader, Read};

/// The most bytes that one read appends.
const MAX_READ_BYTES: u64 = 1 << 20;

/// How the end of a body is found.
pub(crate) enum Framing {
    Chunked(ChunkPosition),
    ContentLength { remaining: u64 },
    UntilClose,
}

impl Framing {
    /// How many bytes may be read now as part of the body; 0 at its end.
    fn readable_bytes(&mut self, from: &mut impl BufRead) -> io::Result<u64> {
        match self {
            Framing::Chunked(position) => position.readable_bytes(from),
            Framing::ContentLength { remaining } => Ok(*remaining),
            Framing::UntilClose => Ok(u64::MAX),
        }
    }

    /// So many bytes of the body have been read.
    fn advance(&mut self, bytes: u64) {
        match self {
            Framing::Chunked(position) => position.advance(bytes),
            Framing::ContentLength { remaining } => *remaining -= bytes,
            Framing::UntilClose => {}
        }
    }
}

/// A response's body.
pub struct Body<S> {
    from: BufReader<S>,
    framing: Framing,
}

impl<S: Read> Body<S> {
    pub(crate) fn new(from: BufReader<S>, framing: Framing) -> Body<S> {
        Body { from, framing }
    }

    /// Waits for some bytes of the body and appends them to `to`. Returns how many came; 0 when the body has ended. How
    /// much is kept is the caller's to bound.
    ///
    /// # Errors
    /// The connection's, after which it can be called again if the connection can still be read: nothing is lost.
    /// [`io::ErrorKind::UnexpectedEof`] if it ends between two chunks; [`io::ErrorKind::InvalidData`] if the chunks are
    /// malformed.
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
