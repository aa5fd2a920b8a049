//! Bodies that arrive slowly, malformed chunks, and malformed heads.
use http1::{Body, MAX_HEAD_BYTES, MalformedResponse, Response};
use std::collections::VecDeque;
use std::io::{self, BufReader, Cursor, Read};

const CHUNKED: &str = "Transfer-Encoding: chunked\r\n";
/// Maximum length of a line with a chunk's size, in bytes.
const MAX_SIZE_LINE_BYTES: usize = 64;

/// Returns the head immediately, and then one byte of the body per read, with a timeout before each.
struct SlowBody {
    head: Cursor<Vec<u8>>,
    body: VecDeque<u8>,
    timed_out: bool,
}

impl Read for SlowBody {
    fn read(&mut self, to: &mut [u8]) -> io::Result<usize> {
        let head_bytes = self.head.read(to)?;
        if head_bytes > 0 {
            return Ok(head_bytes);
        }
        self.timed_out = !self.timed_out;
        if self.timed_out {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        Ok(self.body.pop_front().map_or(0, |byte| {
            to[0] = byte;
            1
        }))
    }
}

fn read_to_end(mut body: Body<impl Read>) -> io::Result<Vec<u8>> {
    let mut all = Vec::new();
    loop {
        match body.read_available(&mut all) {
            Ok(0) => return Ok(all),
            Ok(_) => {}
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
    }
}

/// Reads a body that arrives slowly after a head with these headers.
fn read_slowly(headers: &str, body: &[u8]) -> io::Result<Vec<u8>> {
    let head = format!("HTTP/1.1 200 OK\r\n{headers}\r\n").into_bytes();
    let body = body.iter().copied().collect();
    let source = SlowBody { head: Cursor::new(head), body, timed_out: false };
    read_to_end(Response::read(BufReader::new(source))?.body)
}

fn read_response(text: &str) -> io::Result<Response<Cursor<Vec<u8>>>> {
    Response::read(BufReader::new(Cursor::new(text.as_bytes().to_vec())))
}

#[test]
fn slow_bodies_are_read_in_full_with_each_framing() {
    let chunks = b"3\r\nab\n\r\n1\r\nc\r\n2;x\r\nd\n\r\n0\r\n\r\n";
    assert_eq!(read_slowly(CHUNKED, chunks).unwrap(), b"ab\ncd\n");
    assert_eq!(read_slowly("Content-Length: 7\r\n", b"one\ntwo, and more").unwrap(), b"one\ntwo");
    assert_eq!(read_slowly("", b"one\ntwo").unwrap(), b"one\ntwo");
}

#[test]
fn malformed_chunks_are_errors() {
    let long = [&[b'0'; MAX_SIZE_LINE_BYTES][..], b"1\r\nab\r\n"].concat();
    for malformed in [&b"1\r\nabc"[..], b"x\r\n", b"\r\n", b";x\r\n", b"-1\r\n", b"1\nab", &long] {
        assert!(read_slowly(CHUNKED, malformed).is_err(), "{}", malformed.escape_ascii());
    }
}

#[test]
fn incomplete_long_and_malformed_heads_are_errors() {
    assert!(read_response("HTTP/1.1 200 OK\r\nContent-Le").is_err());
    assert!(read_response("nonsense\r\n\r\n").is_err());
    assert!(read_response("HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n").is_err());
    let long = format!("HTTP/1.1 200 OK\r\nX: {}\r\n\r\n", "x".repeat(MAX_HEAD_BYTES));
    assert!(read_response(&long).is_err());
}

#[test]
fn body_ends_at_its_length_and_no_content_has_none() {
    let text = "HTTP/1.1 404 Not\r\nX-Index: 7\r\ncontent-length: 2\r\n\r\nabHTTP";
    let mut response = read_response(text).unwrap();
    let mut body = Vec::new();
    assert_eq!(response.body.read_available(&mut body).unwrap(), 2);
    assert_eq!(response.body.read_available(&mut body).unwrap(), 0);
    assert_eq!((response.status, &body[..]), (404, &b"ab"[..]));
    let mut no_content = read_response("HTTP/1.1 204 No\r\n\r\nHTTP").unwrap();
    assert_eq!(no_content.body.read_available(&mut body).unwrap(), 0);
}

#[test]
fn malformed_response_is_the_source_of_the_error() {
    let error = read_response("HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n").err().unwrap();
    assert_eq!(error.kind(), io::ErrorKind::InvalidData);
    let source = error.get_ref().and_then(|source| source.downcast_ref::<MalformedResponse>());
    assert_eq!(source, Some(&MalformedResponse::ContentLength("x".into())));
}
