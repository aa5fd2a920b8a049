//! Answers of HTTP/1.1: the head, and the body as it comes: chunked, of a stated length, or up to the end. Heads and
//! chunks' sizes are read by `httparse`; no chunk decoder of the registry goes on after a read that stopped midway.
use std::io::{self, BufRead, BufReader, Read};

/// The longest head, in bytes.
pub const MAX_HEAD_BYTES: usize = 16_384;
const HEAD: u64 = MAX_HEAD_BYTES as u64;
/// The longest line with a chunk's size.
const SIZE: usize = 64;

enum Framing {
    /// Of the chunk at hand this is left; then its end, and the next one's size as far as it has come.
    Chunked {
        left: u64,
        ending: u8,
        size: Vec<u8>,
    },
    Sized {
        left: u64,
    },
    ToTheEnd,
}

/// An answer, its body not read yet.
pub struct Answer<S> {
    /// The status code.
    pub code: u16,
    /// The body.
    pub body: Body<S>,
}

fn next(from: &mut impl BufRead) -> io::Result<u8> {
    let byte = from.fill_buf()?.first().copied().ok_or(io::ErrorKind::UnexpectedEof)?;
    from.consume(1);
    Ok(byte)
}

/// An answer's body.
pub struct Body<S> {
    from: BufReader<S>,
    framing: Framing,
}

fn invalid(what: impl Into<String>) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.into())
}

impl<S: Read> Answer<S> {
    /// Reads the head of an answer.
    pub fn read(mut from: BufReader<S>) -> io::Result<Answer<S>> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let before = head.len();
            (&mut from).take(HEAD - before as u64).read_until(b'\n', &mut head)?;
            if head.len() == before {
                return Err(invalid("the answer's head is cut off or too long"));
            }
        }
        let mut headers = [httparse::EMPTY_HEADER; 64];
        let mut answer = httparse::Response::new(&mut headers);
        answer.parse(&head).map_err(|e| invalid(format!("the answer's head: {e}")))?;
        let code = answer.code.unwrap_or(0);
        let of = |name: &str| {
            let header = answer.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name))?;
            std::str::from_utf8(header.value).ok().map(str::trim)
        };
        let framing = if of("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
            Framing::Chunked { left: 0, ending: 0, size: Vec::new() }
        } else if let Some(n) = of("content-length") {
            let left = n.parse().map_err(|_| invalid(format!("expected a length, found '{n}'")))?;
            Framing::Sized { left }
        } else if matches!(code, 204 | 304) {
            Framing::Sized { left: 0 }
        } else {
            Framing::ToTheEnd
        };
        Ok(Answer { code, body: Body { from, framing } })
    }
}

impl<S: Read> Body<S> {
    /// How many bytes may be read now as part of the body; 0 at its end.
    fn open_bytes(&mut self) -> io::Result<u64> {
        match &mut self.framing {
            Framing::ToTheEnd => Ok(u64::MAX),
            Framing::Sized { left } => Ok(*left),
            Framing::Chunked { left, ending, size } => {
                // Byte by byte, so that a read that stops midway goes on where it was.
                while *ending > 0 {
                    let expected = if *ending == 2 { b'\r' } else { b'\n' };
                    if next(&mut self.from)? != expected {
                        return Err(invalid("a chunk does not end where its size says"));
                    }
                    *ending -= 1;
                }
                if *left == 0 {
                    while size.last() != Some(&b'\n') {
                        size.push(next(&mut self.from)?);
                        if size.len() > SIZE {
                            return Err(invalid("a chunk's size is too long"));
                        }
                    }
                    // The library takes a line without digits for the size 0.
                    let digits = size.first().is_some_and(u8::is_ascii_hexdigit);
                    *left = match httparse::parse_chunk_size(size) {
                        Ok(httparse::Status::Complete((_, n))) if digits => n,
                        _ => {
                            let found = size.escape_ascii();
                            return Err(invalid(format!("expected a chunk's size, found '{found}'")));
                        }
                    };
                    size.clear();
                }
                Ok(*left)
            }
        }
    }

    fn took(&mut self, n: u64) {
        match &mut self.framing {
            Framing::ToTheEnd => {}
            Framing::Sized { left } => *left -= n,
            Framing::Chunked { left, ending, .. } => {
                *left -= n;
                *ending = if *left == 0 { 2 } else { 0 };
            }
        }
    }

    /// Adds the bytes of the body that have come to `to`, waiting for the first of them; `false` when the body has
    /// ended. After an error of the connection's patience it can be called again, and nothing is lost. How much is held
    /// is the caller's to bound.
    pub fn some(&mut self, to: &mut Vec<u8>) -> io::Result<bool> {
        let open = self.open_bytes()?;
        if open == 0 {
            return Ok(false);
        }
        let ready = self.from.fill_buf()?;
        let n = ready.len().min(open.min(1 << 20) as usize);
        to.extend_from_slice(&ready[..n]);
        self.from.consume(n);
        self.took(n as u64);
        Ok(n > 0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::VecDeque;

    /// Brings a byte at a time, with an end of patience before each.
    struct Slow(VecDeque<u8>, bool);

    impl Read for Slow {
        fn read(&mut self, to: &mut [u8]) -> io::Result<usize> {
            self.1 = !self.1;
            if self.1 {
                return Err(io::ErrorKind::WouldBlock.into());
            }
            Ok(self.0.pop_front().map_or(0, |b| {
                to[0] = b;
                1
            }))
        }
    }

    fn slowly(bytes: &[u8], framing: Framing) -> io::Result<Vec<u8>> {
        let from = BufReader::new(Slow(bytes.iter().copied().collect(), false));
        let (mut body, mut all) = (Body { from, framing }, Vec::new());
        loop {
            match body.some(&mut all) {
                Ok(true) => {}
                Ok(false) => return Ok(all),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
    }

    fn chunked(bytes: &[u8]) -> io::Result<Vec<u8>> {
        slowly(bytes, Framing::Chunked { left: 0, ending: 0, size: Vec::new() })
    }

    #[test]
    fn bodies_come_whole_however_slowly_and_in_whatever_chunks() {
        assert_eq!(chunked(b"3\r\nab\n\r\n1\r\nc\r\n2;x\r\nd\n\r\n0\r\n\r\n").unwrap(), b"ab\ncd\n");
        assert_eq!(slowly(b"one\ntwo, and more", Framing::Sized { left: 7 }).unwrap(), b"one\ntwo");
        assert_eq!(slowly(b"one\ntwo", Framing::ToTheEnd).unwrap(), b"one\ntwo");
    }

    #[test]
    fn what_is_no_chunk_is_an_error() {
        let long = [&[b'0'; SIZE][..], b"1\r\nab\r\n"].concat();
        for bad in [&b"1\r\nabc"[..], b"x\r\n", b"\r\n", b";x\r\n", b"-1\r\n", b"1\nab", &long] {
            assert!(chunked(bad).is_err(), "{}", bad.escape_ascii());
        }
    }

    #[test]
    fn a_head_that_is_cut_off_too_long_or_none_is_an_error() {
        let answer = |text: &str| Answer::read(BufReader::new(io::Cursor::new(text.as_bytes().to_vec())));
        assert!(answer("HTTP/1.1 200 OK\r\nContent-Le").is_err());
        assert!(answer("nonsense\r\n\r\n").is_err());
        assert!(answer("HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n").is_err());
        assert!(answer(&format!("HTTP/1.1 200 OK\r\nX: {}\r\n\r\n", "x".repeat(HEAD as usize))).is_err());
        let mut good = answer("HTTP/1.1 404 Not\r\nX-Index: 7\r\ncontent-length: 2\r\n\r\nabHTTP").unwrap();
        let mut body = Vec::new();
        assert!(good.body.some(&mut body).unwrap() && !good.body.some(&mut body).unwrap());
        assert_eq!((good.code, &body[..]), (404, &b"ab"[..]));
        let mut none = answer("HTTP/1.1 204 No\r\n\r\nHTTP").unwrap();
        assert!(!none.body.some(&mut body).unwrap());
    }
}
