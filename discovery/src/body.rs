//! The body of an HTTP/1.1 answer, read line by line: chunked, of a stated length, or up to the end.
use std::io::{self, BufRead, BufReader, Read};
use std::net::TcpStream;

enum Framing {
    Chunked { left: u64 },
    Sized { left: u64 },
    ToTheEnd,
}

/// An answer's body.
pub struct Body {
    from: BufReader<TcpStream>,
    framing: Framing,
    most: usize,
}

fn invalid(what: impl Into<String>) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.into())
}

impl Body {
    /// Reads the head of the answer; anything but 200 is an error.
    pub fn open(socket: TcpStream, most: usize) -> io::Result<Body> {
        let mut from = BufReader::with_capacity(8192, socket);
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let before = head.len();
            (&mut from).take(16_384 - before as u64).read_until(b'\n', &mut head)?;
            if head.len() == before {
                return Err(invalid("the answer's head is cut off or too long"));
            }
        }
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut answer = httparse::Response::new(&mut headers);
        answer.parse(&head).map_err(|e| invalid(format!("the answer's head: {e}")))?;
        if answer.code != Some(200) {
            return Err(invalid(format!("expected status 200, found {}", answer.code.unwrap_or(0))));
        }
        let of = |name: &str| {
            let h = answer.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name))?;
            std::str::from_utf8(h.value).ok().map(str::trim)
        };
        let framing = if of("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
            Framing::Chunked { left: 0 }
        } else if let Some(n) = of("content-length") {
            let left = n.parse().map_err(|_| invalid(format!("expected a length, found '{n}'")))?;
            Framing::Sized { left }
        } else {
            Framing::ToTheEnd
        };
        Ok(Body { from, framing, most })
    }

    /// How many bytes may be read now as part of the body; 0 at its end.
    fn open_bytes(&mut self) -> io::Result<u64> {
        match &mut self.framing {
            Framing::ToTheEnd => Ok(u64::MAX),
            Framing::Sized { left } => Ok(*left),
            Framing::Chunked { left } => {
                if *left == 0 {
                    let mut size = String::new();
                    (&mut self.from).take(64).read_line(&mut size)?;
                    let digits = size.split(';').next().unwrap_or("").trim();
                    if digits.is_empty() {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                    *left = u64::from_str_radix(digits, 16)
                        .map_err(|_| invalid(format!("expected a chunk's size, found '{digits}'")))?;
                }
                Ok(*left)
            }
        }
    }

    fn took(&mut self, n: u64) -> io::Result<()> {
        match &mut self.framing {
            Framing::ToTheEnd => {}
            Framing::Sized { left } => *left -= n,
            Framing::Chunked { left } => {
                *left -= n;
                if *left == 0 {
                    let mut end = [0; 2];
                    self.from.read_exact(&mut end)?;
                    if &end != b"\r\n" {
                        return Err(invalid("a chunk does not end where its size says"));
                    }
                }
            }
        }
        Ok(())
    }

    /// Reads one line, its end left out; `false` when the body has ended.
    pub fn line(&mut self, line: &mut Vec<u8>) -> io::Result<bool> {
        line.clear();
        loop {
            let open = self.open_bytes()?;
            if open == 0 {
                return Ok(!line.is_empty());
            }
            let ready = self.from.fill_buf()?;
            if ready.is_empty() {
                return Ok(!line.is_empty());
            }
            let ready = &ready[..ready.len().min(open.min(1 << 20) as usize)];
            let end = ready.iter().position(|b| *b == b'\n');
            let n = end.map_or(ready.len(), |e| e + 1);
            line.extend_from_slice(&ready[..end.unwrap_or(n)]);
            self.from.consume(n);
            self.took(n as u64)?;
            if line.len() > self.most {
                return Err(invalid("a line is too long"));
            }
            if end.is_some() {
                return Ok(true);
            }
        }
    }
}
