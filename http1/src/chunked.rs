//! Position in a chunked body. It survives a read that fails midway: single bytes are consumed as they are understood.
use crate::error::MalformedResponse;
use std::io::{self, BufRead};

/// The longest line with a chunk's size, in bytes.
const MAX_SIZE_LINE_BYTES: usize = 64;
/// What ends a chunk.
const CHUNK_END: &[u8] = b"\r\n";

/// Where in a chunked body the next byte stands.
pub(crate) struct ChunkPosition {
    /// Bytes of the current chunk that have not been read.
    remaining: u64,
    /// The part of the current chunk's end that has not been read.
    unread_end: &'static [u8],
    /// The line with the next chunk's size, as far as it has been read.
    size_line: Vec<u8>,
}

impl ChunkPosition {
    /// Before the first chunk.
    pub(crate) fn at_start() -> ChunkPosition {
        ChunkPosition { remaining: 0, unread_end: b"", size_line: Vec::new() }
    }

    /// How many bytes of the current chunk may be read now, behind its size line; 0 at the end of the body.
    pub(crate) fn readable_bytes(&mut self, from: &mut impl BufRead) -> io::Result<u64> {
        self.read_chunk_end(from)?;
        if self.remaining == 0 {
            self.remaining = self.read_size(from)?;
        }
        Ok(self.remaining)
    }

    /// So many bytes of the current chunk have been read.
    pub(crate) fn advance(&mut self, bytes: u64) {
        self.remaining -= bytes;
        self.unread_end = if self.remaining == 0 { CHUNK_END } else { b"" };
    }

    fn read_chunk_end(&mut self, from: &mut impl BufRead) -> io::Result<()> {
        while let Some((expected, rest)) = self.unread_end.split_first() {
            if read_byte(from)? != *expected {
                return Err(MalformedResponse::ChunkEnd.into());
            }
            self.unread_end = rest;
        }
        Ok(())
    }

    fn read_size(&mut self, from: &mut impl BufRead) -> io::Result<u64> {
        while self.size_line.last() != Some(&b'\n') {
            self.size_line.push(read_byte(from)?);
            if self.size_line.len() > MAX_SIZE_LINE_BYTES {
                return Err(MalformedResponse::ChunkSizeTooLong.into());
            }
        }
        let size = parse_size(&self.size_line)?;
        self.size_line.clear();
        Ok(size)
    }
}

fn parse_size(line: &[u8]) -> Result<u64, MalformedResponse> {
    // The library takes a line without digits for the size 0.
    let has_digits = line.first().is_some_and(u8::is_ascii_hexdigit);
    match httparse::parse_chunk_size(line) {
        Ok(httparse::Status::Complete((_, size))) if has_digits => Ok(size),
        _ => Err(MalformedResponse::ChunkSize(line.escape_ascii().to_string())),
    }
}

fn read_byte(from: &mut impl BufRead) -> io::Result<u8> {
    let byte = from.fill_buf()?.first().copied().ok_or(io::ErrorKind::UnexpectedEof)?;
    from.consume(1);
    Ok(byte)
}
