//! State of reading a chunked body. The state remains valid when a read fails midway, because each byte of
//! the chunk framing is consumed only when it has been processed.
use crate::error::MalformedResponse;
use std::io::{self, BufRead};

/// Maximum length of a line with a chunk's size, in bytes.
const MAX_SIZE_LINE_BYTES: usize = 64;
/// The line end after the data of a chunk.
const CHUNK_END: &[u8] = b"\r\n";

/// State of reading a chunked body: the chunk or size line to which the next byte belongs.
pub(crate) struct ChunkState {
    /// Number of bytes of the current chunk that have not been read.
    remaining: u64,
    /// The part of the current chunk's line end that has not been read.
    unread_end: &'static [u8],
    /// The part of the next chunk's size line that has been read.
    size_line: Vec<u8>,
}

impl ChunkState {
    /// Creates the state before the first chunk.
    pub(crate) fn at_start() -> ChunkState {
        ChunkState { remaining: 0, unread_end: b"", size_line: Vec::new() }
    }

    /// Returns how many bytes of the current chunk can be read now, after reading its size line if necessary;
    /// 0 at the end of the body.
    pub(crate) fn readable_bytes(&mut self, from: &mut impl BufRead) -> io::Result<u64> {
        self.read_chunk_end(from)?;
        if self.remaining == 0 {
            self.remaining = self.read_size(from)?;
        }
        Ok(self.remaining)
    }

    /// Records that this many bytes of the current chunk have been read.
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
    // `httparse` accepts a line without digits as the size 0.
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
