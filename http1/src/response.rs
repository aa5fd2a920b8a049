//! The head of a response.
use crate::body::{Body, Framing};
use crate::chunked::ChunkPosition;
use crate::error::MalformedResponse;
use std::io::{self, BufRead, BufReader, Read};

/// The longest head, in bytes.
pub const MAX_HEAD_BYTES: usize = 16_384;
/// The most headers of a head.
const MAX_HEADERS: usize = 64;
/// The empty line behind the last header, with the end of that.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A response, its body not read yet.
pub struct Response<S> {
    /// The status code.
    pub status: u16,
    /// The body.
    pub body: Body<S>,
}

impl<S: Read> Response<S> {
    /// Reads the head of a response. It can't be resumed after an error.
    ///
    /// # Errors
    /// The connection's; [`io::ErrorKind::InvalidData`] if the head is incomplete, too long or malformed.
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
        return Ok(Framing::Chunked(ChunkPosition::at_start()));
    }
    if let Some(length) = header(headers, "content-length") {
        let remaining = length.parse().map_err(|_| MalformedResponse::ContentLength(length.into()))?;
        return Ok(Framing::ContentLength { remaining });
    }
    // No Content and Not Modified have no body.
    if matches!(status, 204 | 304) {
        return Ok(Framing::ContentLength { remaining: 0 });
    }
    Ok(Framing::UntilClose)
}

/// The first header of this name; `None` also if its value is not UTF-8.
fn header<'h>(headers: &[httparse::Header<'h>], name: &str) -> Option<&'h str> {
    let header = headers.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(header.value).ok().map(str::trim)
}
