//! Reading of the head of a response: its status line and headers.
use crate::body::{Body, Framing};
use crate::chunked::ChunkState;
use crate::error::MalformedResponse;
use std::io::{self, BufRead, BufReader, Read};

/// Maximum length of a head, in bytes.
pub const MAX_HEAD_BYTES: usize = 16_384;
/// Maximum number of headers.
const MAX_HEADERS: usize = 64;
/// The end of the last header line and the empty line after it.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A response whose head has been read, and whose body can be read.
pub struct Response<S> {
    /// The HTTP status code.
    pub status: u16,
    /// The body, which has not been read yet.
    pub body: Body<S>,
}

impl<S: Read> Response<S> {
    /// Reads the head of a response. Reading cannot be resumed after an error.
    ///
    /// # Errors
    /// Returns the connection's error, or [`io::ErrorKind::InvalidData`] if the head is incomplete, too long
    /// or malformed.
    pub fn read(mut from: BufReader<S>) -> io::Result<Response<S>> {
        let head = read_head(&mut from)?;
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut headers);
        parsed.parse(&head).map_err(MalformedResponse::Head)?;
        let status = parsed.code.unwrap_or(0);
        let framing = framing(status, parsed.headers)?;
        Ok(Response { status, body: Body::new(from, framing) })
    }
}

fn read_head(from: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut head = Vec::new();
    while !head.ends_with(HEAD_END) {
        let length = head.len();
        let remaining = (MAX_HEAD_BYTES - length) as u64;
        from.take(remaining).read_until(b'\n', &mut head)?;
        if head.len() == length {
            return Err(MalformedResponse::IncompleteHead.into());
        }
    }
    Ok(head)
}

fn framing(status: u16, headers: &[httparse::Header<'_>]) -> Result<Framing, MalformedResponse> {
    if header(headers, "transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
        return Ok(Framing::Chunked(ChunkState::at_start()));
    }
    if let Some(length) = header(headers, "content-length") {
        let remaining = length.parse().map_err(|_| MalformedResponse::ContentLength(length.into()))?;
        return Ok(Framing::ContentLength { remaining });
    }
    // Responses with the status 204 (No Content) and 304 (Not Modified) have no body.
    if matches!(status, 204 | 304) {
        return Ok(Framing::ContentLength { remaining: 0 });
    }
    Ok(Framing::UntilClose)
}

/// Returns the value of the first header with this name; `None` if there is none or its value is not UTF-8.
fn header<'h>(headers: &[httparse::Header<'h>], name: &str) -> Option<&'h str> {
    let header = headers.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(header.value).ok().map(str::trim)
}
