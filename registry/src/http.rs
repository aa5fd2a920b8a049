//! Requests to one member of the registry, one after the other on a connection that is reused: `ureq` speaks HTTP on it.
//! Connecting, TLS and timeouts are ours, by the transport that `ureq` lets its users put below it.
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

/// The longest head of a response.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// An idle connection is reused up to this age.
const MAX_IDLE: Duration = Duration::from_hours(1);
/// Characters of a body that a message may quote.
const MAX_QUOTED_CHARS: usize = 200;

/// One member.
pub struct Member {
    /// Where it listens.
    pub addr: SocketAddr,
    tls: Option<Arc<Tls>>,
    bounds: Bounds,
    agent: Agent,
    shared: Arc<Shared>,
    /// The name and value of a header that authenticates each request.
    pub auth_header: Option<(&'static str, String)>,
}

impl Member {
    /// A member; nothing is connected yet.
    pub fn new(addr: SocketAddr, tls: Option<Arc<Tls>>, bounds: Bounds) -> Member {
        let shared = Arc::new(Shared::default());
        let config = Agent::config_builder()
            // Neither the environment nor a response sends us elsewhere, and a refusal is a response.
            .proxy(None)
            .max_redirects(0)
            .http_status_as_error(false)
            .max_response_header_size(MAX_HEAD_BYTES)
            .max_idle_connections(1)
            .max_idle_age(MAX_IDLE)
            .build();
        let connector = SocketConnector { addr, tls: tls.clone(), bounds, shared: shared.clone() };
        let agent = Agent::with_parts(config, connector, DefaultResolver::default());
        Member { addr, tls, bounds, agent, shared, auth_header: None }
    }

    /// The same member, on a connection of its own.
    #[must_use]
    pub fn new_connection(&self) -> Member {
        let mut member = Member::new(self.addr, self.tls.clone(), self.bounds);
        member.auth_header.clone_from(&self.auth_header);
        member
    }

    /// Sends a request, again on a new connection where a reused one had been closed; the response's body is unread.
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
            // Only a reused connection may have been closed before the request; every request here may be sent twice.
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

    /// Sends a request, and reads the whole response.
    ///
    /// # Errors
    /// The connection failed, or the response is cut off, too long, or silent for longer than the bounds allow. A status
    /// code that refuses is no error here: see [`Response::json`].
    pub fn request(&mut self, method: &str, path: &str, body: &[u8]) -> Result<Response, RequestError> {
        self.request_with_timeout(method, path, body, self.bounds.read_timeout)
    }

    /// The same with another read timeout than that of the bounds.
    ///
    /// # Errors
    /// As for [`Member::request`].
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

    /// Sends a request for a response that goes on, line by line: its head must come within `head_timeout`, and a read
    /// that brings nothing for `read_timeout` ends in an error after which reading may go on.
    ///
    /// # Errors
    /// As for [`Member::request`].
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

/// A response that goes on.
pub struct LineStream {
    /// The status code.
    pub code: u16,
    reader: BufReader<BodyReader<'static>>,
    max_bytes: usize,
    /// The beginning of a line whose end had not come when a read timed out.
    partial: Vec<u8>,
}

impl LineStream {
    /// Reads one line, without its end; `false` when the response has ended.
    ///
    /// # Errors
    /// The connection failed, the response is cut off, or the line is too long. After a timeout (`WouldBlock` or
    /// `TimedOut`) this can be called again, and nothing is lost.
    pub fn read_line(&mut self, line: &mut Vec<u8>) -> io::Result<bool> {
        line.clear();
        let room = (self.max_bytes + 1).saturating_sub(self.partial.len()) as u64;
        (&mut self.reader).take(room).read_until(b'\n', &mut self.partial)?;
        std::mem::swap(line, &mut self.partial);
        let is_cut = line.last() != Some(&b'\n');
        if is_cut && line.len() > self.max_bytes {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "a line is too long"));
        }
        line.truncate(line.len() - usize::from(!is_cut));
        Ok(!is_cut || !line.is_empty())
    }
}

/// A response with its whole body.
pub struct Response {
    /// The status code.
    pub code: u16,
    /// The body.
    pub body: Vec<u8>,
    /// Consul's index, where the response has one.
    pub index: Option<u64>,
    /// Whether Consul knows a leader; also `true` where the response doesn't say.
    pub knows_leader: bool,
}

impl Response {
    /// The body as JSON.
    ///
    /// # Errors
    /// The status code is no success, or the body is not JSON.
    pub fn json(&self) -> Result<Value, RequestError> {
        if !(200..300).contains(&self.code) {
            return Err(RequestError::Rejected { status: self.code, message: self.text() });
        }
        serde_json::from_slice(&self.body)
            .map_err(|e| RequestError::InvalidResponse { reason: format!("no JSON: {e}") })
    }

    /// The beginning of the body, for messages.
    pub fn text(&self) -> String {
        let text = String::from_utf8_lossy(&self.body);
        text.trim().chars().take(MAX_QUOTED_CHARS).collect()
    }
}
