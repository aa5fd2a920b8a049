//! The subset of HTTP/1.1 that the registry's clients use, with or without TLS.
use rustls::{ServerConnection, StreamOwned};
use serde_json::Value;
use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// A connection with or without TLS.
pub(super) trait Stream: Read + Write + Send {
    /// Returns the underlying socket.
    fn socket(&self) -> &TcpStream;
}

impl Stream for TcpStream {
    fn socket(&self) -> &TcpStream {
        self
    }
}

impl Stream for StreamOwned<ServerConnection, TcpStream> {
    fn socket(&self) -> &TcpStream {
        &self.sock
    }
}

/// A parsed HTTP request.
pub(super) struct Request {
    pub(super) method: String,
    pub(super) path: String,
    pub(super) query: HashMap<String, String>,
    pub(super) token: Option<String>,
    pub(super) body: Vec<u8>,
}

impl Request {
    /// Returns the body as JSON; null if it is not valid JSON.
    pub(super) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns a query parameter as a number; `None` if it is missing or not a number.
    pub(super) fn query_number(&self, name: &str) -> Option<u64> {
        self.query.get(name).and_then(|value| value.parse().ok())
    }
}

/// The request headers that the registry uses.
#[derive(Default)]
struct Headers {
    content_length: usize,
    token: Option<String>,
}

/// Reads a request; returns `None` if the connection was closed.
pub(super) fn read_request(stream: &mut BufReader<Box<dyn Stream>>) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if stream.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace().map(str::to_string);
    let method = words.next().unwrap_or_default();
    let target = words.next().unwrap_or_default();
    let headers = read_headers(stream)?;
    let mut body = vec![0; headers.content_length];
    stream.read_exact(&mut body)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').map(parse_parameter).collect();
    Ok(Some(Request { method, path: path.to_string(), query, token: headers.token, body }))
}

fn read_headers(stream: &mut BufReader<Box<dyn Stream>>) -> io::Result<Headers> {
    let mut headers = Headers::default();
    loop {
        let mut line = String::new();
        stream.read_line(&mut line)?;
        let Some((name, value)) = line.trim().split_once(':') else { return Ok(headers) };
        match name.to_ascii_lowercase().as_str() {
            "content-length" => headers.content_length = value.trim().parse().unwrap_or(0),
            "authorization" | "x-consul-token" => headers.token = Some(value.trim().to_string()),
            _ => {}
        }
    }
}

/// Splits a query parameter into name and value.
fn parse_parameter(parameter: &str) -> (String, String) {
    let (name, value) = parameter.split_once('=').unwrap_or((parameter, ""));
    (name.to_string(), value.to_string())
}

/// An HTTP response with a JSON body.
pub(super) struct Response {
    pub(super) status: u16,
    /// Additional headers, each line with its CRLF.
    pub(super) headers: String,
    pub(super) body: Vec<u8>,
}

impl Response {
    /// Creates a response without additional headers.
    pub(super) fn new(status: u16, body: impl Into<Vec<u8>>) -> Response {
        Response { status, headers: String::new(), body: body.into() }
    }

    /// Creates a response with a JSON value as its body.
    pub(super) fn json(status: u16, body: &Value) -> Response {
        Response::new(status, body.to_string())
    }

    /// Writes the complete response. The reason phrase is a placeholder, because clients ignore it.
    pub(super) fn write_to(&self, stream: &mut dyn Stream) -> io::Result<()> {
        let Response { status, headers, body } = self;
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n{headers}Content-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(&[head.as_bytes(), body].concat())?;
        stream.flush()
    }
}
