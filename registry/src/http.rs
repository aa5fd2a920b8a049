//! HTTP requests to one registry member, one at a time on a reused connection. `ureq` implements HTTP;
//! connecting, TLS and timeouts are implemented here, in a custom `ureq` transport.
mod bounds;
mod transport;

pub use bounds::Bounds;

use crate::RequestError;
use crate::tls::Tls;
use bounds::BUFFER_BYTES;
use serde_json::Value;
use std::io::{self, BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use transport::{Shared, SocketConnector};
use ureq::unversioned::resolver::DefaultResolver;
use ureq::{Agent, BodyReader};

/// The size limit for the head of a response.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// An idle connection older than this is not reused.
const MAX_IDLE: Duration = Duration::from_hours(1);
/// The number of characters of a response body that an error message quotes at most.
const MAX_QUOTED_CHARS: usize = 200;

/// An HTTP client for one registry member.
pub struct HttpClient {
    /// The address of the registry member.
    pub addr: SocketAddr,
    tls: Option<Arc<Tls>>,
    bounds: Bounds,
    agent: Agent,
    shared: Arc<Shared>,
    /// The name and value of the header that authenticates requests.
    pub auth_header: Option<(&'static str, String)>,
}

impl HttpClient {
    /// Creates a client without opening a connection.
    pub fn new(addr: SocketAddr, tls: Option<Arc<Tls>>, bounds: Bounds) -> HttpClient {
        let shared = Arc::new(Shared::default());
        let config = Agent::config_builder()
            // No proxy from the environment and no redirects; an error status is returned as a response.
            .proxy(None)
            .max_redirects(0)
            .http_status_as_error(false)
            .max_response_header_size(MAX_HEAD_BYTES)
            .max_idle_connections(1)
            .max_idle_age(MAX_IDLE)
            .build();
        let connector = SocketConnector { addr, tls: tls.clone(), bounds, shared: shared.clone() };
        let agent = Agent::with_parts(config, connector, DefaultResolver::default());
        HttpClient { addr, tls, bounds, agent, shared, auth_header: None }
    }

    /// Creates a client of the same member with a separate connection.
    #[must_use]
    pub fn new_connection(&self) -> HttpClient {
        let mut client = HttpClient::new(self.addr, self.tls.clone(), self.bounds);
        client.auth_header.clone_from(&self.auth_header);
        client
    }

    /// Sends a request and reads the head of the response. If a reused connection turns out to be closed, the
    /// request is sent again on a new one.
    fn send(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
        read_timeout: Duration,
    ) -> Result<ureq::http::Response<ureq::Body>, ureq::Error> {
        self.shared.set_read_timeout(read_timeout);
        let connections = self.shared.connections();
        match self.send_once(method, path, body) {
            // Only a reused connection may have been closed before the request. All requests to the registry
            // are safe to repeat.
            Err(ureq::Error::Io(e))
                if self.shared.connections() == connections && connections > 0 && !is_timeout(&e) =>
            {
                self.send_once(method, path, body)
            }
            result => result,
        }
    }

    fn send_once(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<ureq::http::Response<ureq::Body>, ureq::Error> {
        let mut request = ureq::http::Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.addr))
            .header("Content-Type", "application/json");
        if let Some((name, value)) = &self.auth_header {
            request = request.header(*name, value);
        }
        match method {
            "GET" => self.agent.run(request.body(())?),
            _ => self.agent.run(request.body(body)?),
        }
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    /// If the connection failed, or the response is truncated, too long or timed out. An error status is not
    /// an error here; see [`Response::json`].
    pub fn request(&mut self, method: &str, path: &str, body: &[u8]) -> Result<Response, RequestError> {
        self.request_with_timeout(method, path, body, self.bounds.read_timeout)
    }

    /// Like [`HttpClient::request`], with a read timeout other than that of the bounds.
    ///
    /// # Errors
    /// As for [`HttpClient::request`].
    pub fn request_with_timeout(
        &mut self,
        method: &str,
        path: &str,
        body: &[u8],
        read_timeout: Duration,
    ) -> Result<Response, RequestError> {
        let mut response = self.send(method, path, body, read_timeout)?;
        let max_bytes = self.bounds.max_bytes as u64;
        let body = response.body_mut().with_config().limit(max_bytes).read_to_vec()?;
        let header = |name: &str| response.headers().get(name).and_then(|v| v.to_str().ok());
        let index = header("x-consul-index").and_then(|i| i.parse().ok());
        let knows_leader = header("x-consul-knownleader") != Some("false");
        Ok(Response { code: response.status().as_u16(), body, index, knows_leader })
    }

    /// Sends a request whose response is a stream of lines. The response head must be received within
    /// `head_timeout`. A read that receives nothing for `read_timeout` fails with a timeout, after which
    /// reading may continue.
    ///
    /// # Errors
    /// As for [`HttpClient::request`].
    pub fn stream_lines(
        &mut self,
        path: &str,
        body: &[u8],
        head_timeout: Duration,
        read_timeout: Duration,
    ) -> Result<LineStream, RequestError> {
        let response = self.send("POST", path, body, head_timeout)?;
        self.shared.set_read_timeout(read_timeout);
        let code = response.status().as_u16();
        let reader = BufReader::with_capacity(BUFFER_BYTES, response.into_body().into_reader());
        Ok(LineStream { code, reader, max_bytes: self.bounds.max_bytes, partial: Vec::new() })
    }
}

fn is_timeout(e: &io::Error) -> bool {
    matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}

/// The body of a streaming response, read line by line.
pub struct LineStream {
    /// The HTTP status code.
    pub code: u16,
    reader: BufReader<BodyReader<'static>>,
    max_bytes: usize,
    /// The part of a line received before a read timed out.
    partial: Vec<u8>,
}

impl LineStream {
    /// Reads one line without its terminator; `false` at the end of the response.
    ///
    /// # Errors
    /// If the connection failed, the response is truncated or the line is too long. After a timeout
    /// (`WouldBlock` or `TimedOut`) it can be called again without losing data.
    pub fn read_line(&mut self, line: &mut Vec<u8>) -> io::Result<bool> {
        line.clear();
        let remaining = (self.max_bytes + 1).saturating_sub(self.partial.len()) as u64;
        (&mut self.reader).take(remaining).read_until(b'\n', &mut self.partial)?;
        std::mem::swap(line, &mut self.partial);
        let is_incomplete = line.last() != Some(&b'\n');
        if is_incomplete && line.len() > self.max_bytes {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "response line exceeds the size limit"));
        }
        line.truncate(line.len() - usize::from(!is_incomplete));
        Ok(!is_incomplete || !line.is_empty())
    }
}

/// A response with its complete body.
pub struct Response {
    /// The HTTP status code.
    pub code: u16,
    /// The complete body, after decoding of chunks.
    pub body: Vec<u8>,
    /// The value of Consul's index header, if present.
    pub index: Option<u64>,
    /// Whether the Consul member knows a leader; `true` if the response does not say.
    pub knows_leader: bool,
}

impl Response {
    /// Parses the body as JSON.
    ///
    /// # Errors
    /// If the status code is not 2xx, or the body is not JSON.
    pub fn json(&self) -> Result<Value, RequestError> {
        if !(200..300).contains(&self.code) {
            return Err(RequestError::Rejected { status: self.code, message: self.text() });
        }
        serde_json::from_slice(&self.body)
            .map_err(|e| RequestError::InvalidResponse { reason: format!("response body is not JSON: {e}") })
    }

    /// The beginning of the body, for error messages.
    pub fn text(&self) -> String {
        let text = String::from_utf8_lossy(&self.body);
        text.trim().chars().take(MAX_QUOTED_CHARS).collect()
    }
}
