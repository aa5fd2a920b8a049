//! Well-formed, truncated, oversized and malformed responses. The files in `fixtures` hold the expected
//! results, one line per response, recorded before the parser was last changed.
use http1::{MAX_HEAD_BYTES, Response};
use std::io::{self, BufReader, Read};

/// A response to parse, and the name under which the result is recorded.
struct Case {
    name: &'static str,
    head: Vec<u8>,
    body: Vec<u8>,
}

fn case(name: &'static str, head: impl AsRef<[u8]>, body: impl AsRef<[u8]>) -> Case {
    Case { name, head: head.as_ref().to_vec(), body: body.as_ref().to_vec() }
}

/// Returns a case with a valid status line and these header lines.
fn with_headers(name: &'static str, headers: impl AsRef<[u8]>, body: impl AsRef<[u8]>) -> Case {
    let head = [b"HTTP/1.1 200 OK\r\n", headers.as_ref(), b"\r\n"].concat();
    case(name, head, body)
}

fn chunked(name: &'static str, body: impl AsRef<[u8]>) -> Case {
    with_headers(name, "Transfer-Encoding: chunked\r\n", body)
}

/// Returns a head of exactly this many bytes.
fn head_with_length(bytes: usize) -> String {
    let (before, after) = ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX: ", "\r\n\r\n");
    format!("{before}{}{after}", "x".repeat(bytes - before.len() - after.len()))
}

fn status_lines() -> Vec<Case> {
    vec![
        case("no bytes", "", ""),
        case("status 200", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", "abHTTP"),
        case("status 404", "HTTP/1.1 404 Not\r\nX-Index: 7\r\ncontent-length: 2\r\n\r\n", "abHTTP"),
        case("status 204", "HTTP/1.1 204 No\r\n\r\n", "HTTP"),
        case("status 304", "HTTP/1.1 304 Not Modified\r\n\r\n", "HTTP"),
        case("status 204 with a length", "HTTP/1.1 204 No\r\nContent-Length: 2\r\n\r\n", "abHTTP"),
        case("status 100 first", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n"),
        case("version 1.0", "HTTP/1.0 200 OK\r\n\r\n", "ab"),
        case("version 2", "HTTP/2 200 OK\r\n\r\n", "ab"),
        case("version 1.2", "HTTP/1.2 200 OK\r\n\r\n", "ab"),
        case("lower case version", "http/1.1 200 OK\r\n\r\n", "ab"),
        case("no reason", "HTTP/1.1 200\r\n\r\n", "ab"),
        case("empty reason", "HTTP/1.1 200 \r\n\r\n", "ab"),
        case("reason in Latin 1", b"HTTP/1.1 200 \xe9\r\n\r\n", "ab"),
        case("status of two digits", "HTTP/1.1 20 OK\r\n\r\n", "ab"),
        case("status of four digits", "HTTP/1.1 2000 OK\r\n\r\n", "ab"),
        case("status 000", "HTTP/1.1 000 OK\r\n\r\n", "ab"),
        case("status in letters", "HTTP/1.1 abc OK\r\n\r\n", "ab"),
        case("two spaces before the status", "HTTP/1.1  200 OK\r\n\r\n", "ab"),
        case("empty line first", "\r\nHTTP/1.1 200 OK\r\n\r\n", "ab"),
        case("two empty lines first", "\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", "ab"),
        case("no status line", "nonsense\r\n\r\n", "ab"),
        case("a request", "GET / HTTP/1.1\r\n\r\n", "ab"),
    ]
}

fn heads() -> Vec<Case> {
    let many = |count: usize| (0..count).map(|n| format!("X-{n}: {n}\r\n")).collect::<String>();
    vec![
        case("head cut in the status line", "HTTP/1.1 2", ""),
        case("head cut in a header", "HTTP/1.1 200 OK\r\nContent-Le", ""),
        case("head cut before its empty line", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n", ""),
        case("lines end in LF alone", "HTTP/1.1 200 OK\nContent-Length: 2\n\n", "ab"),
        case("one line ends in LF alone", "HTTP/1.1 200 OK\nContent-Length: 2\r\n\r\n", "ab"),
        case("longest head", head_with_length(MAX_HEAD_BYTES), "abHTTP"),
        case("head one byte too long", head_with_length(MAX_HEAD_BYTES + 1), "abHTTP"),
        case("head twice too long", head_with_length(2 * MAX_HEAD_BYTES), "abHTTP"),
        with_headers("64 headers", many(64), "ab"),
        with_headers("65 headers", many(65), "ab"),
        with_headers("header without a colon", "Content-Length\r\n", "ab"),
        with_headers("header without a name", ": 2\r\n", "ab"),
        with_headers("header without a value", "Content-Length:\r\n", "ab"),
        with_headers("space before the colon", "Content-Length : 2\r\n", "abHTTP"),
        with_headers("folded header", "X: a\r\n b\r\nContent-Length: 2\r\n", "abHTTP"),
        with_headers("folded length", "Content-Length:\r\n 2\r\n", "abHTTP"),
        with_headers("control character in a value", "X: a\x01b\r\n", "ab"),
        with_headers("zero byte in a value", "X: a\0b\r\n", "ab"),
        with_headers("value that is not UTF-8", b"X: \xff\r\nContent-Length: 2\r\n", "abHTTP"),
    ]
}

fn lengths() -> Vec<Case> {
    vec![
        with_headers("length 0", "Content-Length: 0\r\n", "HTTP"),
        with_headers("length in capitals", "CONTENT-LENGTH: 2\r\n", "abHTTP"),
        with_headers("length between spaces", "Content-Length: \t 2 \t\r\n", "abHTTP"),
        with_headers("length without a space", "Content-Length:2\r\n", "abHTTP"),
        with_headers("length with a plus", "Content-Length: +2\r\n", "abHTTP"),
        with_headers("negative length", "Content-Length: -2\r\n", "abHTTP"),
        with_headers("length in letters", "Content-Length: x\r\n", "abHTTP"),
        with_headers("length in hex", "Content-Length: 0x2\r\n", "abHTTP"),
        with_headers("length that is not UTF-8", b"Content-Length: \xff\r\n", "ab"),
        with_headers("list of lengths", "Content-Length: 2, 2\r\n", "abHTTP"),
        with_headers("the same length twice", "Content-Length: 2\r\nContent-Length: 2\r\n", "abHTTP"),
        with_headers("two lengths", "Content-Length: 2\r\nContent-Length: 3\r\n", "abHTTP"),
        with_headers("greatest length", "Content-Length: 18446744073709551615\r\n", "ab"),
        with_headers("length beyond 64 bits", "Content-Length: 18446744073709551616\r\n", "ab"),
        with_headers("body cut before its length", "Content-Length: 7\r\n", "one\ntw"),
        with_headers("body longer than its length", "Content-Length: 7\r\n", "one\ntwo, and more"),
        with_headers("no length", "", "one\ntwo"),
        with_headers("no length and no body", "", ""),
        with_headers("chunked in other letters", "transfer-encoding:  CHUNKED \r\n", "2\r\nab\r\n0\r\n\r\n"),
        with_headers("gzip, chunked", "Transfer-Encoding: gzip, chunked\r\n", "2\r\nab\r\n0\r\n\r\n"),
        with_headers("identity", "Transfer-Encoding: identity\r\nContent-Length: 2\r\n", "abHTTP"),
        with_headers(
            "chunked and a length",
            "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
            "2\r\nab\r\n0\r\n\r\n",
        ),
        with_headers(
            "a length and chunked",
            "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
            "2\r\nab\r\n0\r\n\r\n",
        ),
        with_headers(
            "a faulty length and chunked",
            "Content-Length: x\r\nTransfer-Encoding: chunked\r\n",
            "2\r\nab\r\n0\r\n\r\n",
        ),
        with_headers(
            "gzip and chunked in two headers",
            "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
            "2\r\nab\r\n0\r\n\r\n",
        ),
        case(
            "status 204 and chunked",
            "HTTP/1.1 204 No\r\nTransfer-Encoding: chunked\r\n\r\n",
            "2\r\nab\r\n0\r\n\r\n",
        ),
    ]
}

fn chunks() -> Vec<Case> {
    let extension = |bytes: usize| format!("2;{}\r\nab\r\n0\r\n\r\n", "x".repeat(bytes - "2;\r\n".len()));
    vec![
        chunked("chunks", "3\r\nab\n\r\n1\r\nc\r\n2;x\r\nd\n\r\n0\r\n\r\n"),
        chunked("no chunks", "0\r\n\r\n"),
        chunked("no chunks and no empty line", "0\r\n"),
        chunked("trailers", "2\r\nab\r\n0\r\nX: y\r\n\r\n"),
        chunked("another response behind", "2\r\nab\r\n0\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"),
        chunked("size in hex", "A\r\n0123456789\r\na\r\n0123456789\r\n0\r\n\r\n"),
        chunked("size with zeros", "0002\r\nab\r\n000\r\n\r\n"),
        chunked("size with an extension", "2;name=\"value\"\r\nab\r\n0;x\r\n\r\n"),
        chunked("size with a space behind", "2 \r\nab\r\n0\r\n\r\n"),
        chunked("size with a space and an extension", "2 ;x\r\nab\r\n0\r\n\r\n"),
        chunked("size with a space before", " 2\r\nab\r\n0\r\n\r\n"),
        chunked("size with a tab behind", "2\t\r\nab\r\n0\r\n\r\n"),
        chunked("size in letters", "x\r\nab\r\n"),
        chunked("size with letters behind", "2x\r\nab\r\n"),
        chunked("empty size", "\r\nab\r\n"),
        chunked("only an extension", ";x\r\nab\r\n"),
        chunked("negative size", "-1\r\nab\r\n"),
        chunked("size ends in LF alone", "2\nab\r\n0\r\n\r\n"),
        chunked("size ends in CR alone", "2\rab\r\n0\r\n\r\n"),
        chunked("greatest size", "FFFFFFFFFFFFFFFF\r\nab"),
        chunked("size beyond 64 bits", "10000000000000000\r\nab"),
        chunked("size line of 64 bytes", extension(64)),
        chunked("size line of 65 bytes", extension(65)),
        chunked("size of 64 zeros and a digit", [&[b'0'; 64][..], b"1\r\nab\r\n"].concat()),
        chunked("size line without an end", [b'0'; 200]),
        chunked("chunk longer than its size", "1\r\nabc\r\n0\r\n\r\n"),
        chunked("chunk ends in LF alone", "2\r\nab\n0\r\n\r\n"),
        chunked("chunk ends in CR and a letter", "2\r\nab\rx0\r\n\r\n"),
        chunked("no bytes behind the head", ""),
        chunked("cut in the first size", "2"),
        chunked("cut behind the first size", "2\r\n"),
        chunked("cut in a chunk", "3\r\nab"),
        chunked("cut before a chunk's end", "2\r\nab"),
        chunked("cut in a chunk's end", "2\r\nab\r"),
        chunked("cut between two chunks", "2\r\nab\r\n"),
        chunked("cut in the last size", "2\r\nab\r\n0\r"),
    ]
}

/// How the connection delivers the bytes of the body.
#[derive(Clone, Copy)]
enum Delivery {
    /// Immediately after the head, in reads of any size.
    AtOnce,
    /// One byte per read, with a read timeout before each byte.
    ByteByByte,
}

struct Source<'a> {
    head: &'a [u8],
    body: &'a [u8],
    delivery: Delivery,
    timed_out: bool,
}

impl Read for Source<'_> {
    fn read(&mut self, to: &mut [u8]) -> io::Result<usize> {
        if !self.head.is_empty() {
            return self.head.read(to);
        }
        if matches!(self.delivery, Delivery::AtOnce) {
            return self.body.read(to);
        }
        self.timed_out = !self.timed_out;
        if self.timed_out {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        let length = to.len().min(1);
        self.body.read(&mut to[..length])
    }
}

/// Reads a response, and returns a text with its status and body or with the error.
fn read(case: &Case, delivery: Delivery) -> String {
    let source = Source { head: &case.head, body: &case.body, delivery, timed_out: false };
    let mut response = match Response::read(BufReader::with_capacity(2 * MAX_HEAD_BYTES, source)) {
        Ok(response) => response,
        Err(error) => return format!("{:?}: {error}", error.kind()),
    };
    let mut body = Vec::new();
    let end = loop {
        match response.body.read_available(&mut body) {
            Ok(0) => break "end".to_string(),
            Ok(_) => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => break format!("{:?}: {error}", error.kind()),
        }
    };
    format!("{} '{}' {end}", response.status, body.escape_ascii())
}

fn check(delivery: Delivery, recorded: &str) {
    let cases: Vec<Case> = [status_lines(), heads(), lengths(), chunks()].into_iter().flatten().collect();
    let results: String =
        cases.iter().map(|case| format!("{}: {}\n", case.name, read(case, delivery))).collect();
    // The lines are compared first, because a difference between lines is easier to read.
    for (result, recorded) in results.lines().zip(recorded.lines()) {
        assert_eq!(result, recorded);
    }
    assert_eq!(results, recorded);
}

#[test]
fn response_read_at_once_gives_the_recorded_result() {
    check(Delivery::AtOnce, include_str!("fixtures/responses_at_once.txt"));
}

#[test]
fn response_read_byte_by_byte_gives_the_recorded_result() {
    check(Delivery::ByteByByte, include_str!("fixtures/responses_byte_by_byte.txt"));
}
