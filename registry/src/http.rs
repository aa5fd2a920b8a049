//! Requests to one member of the registry, one after the other on a connection that is kept: `ureq` speaks HTTP on it.
//! Connecting, TLS and patience are ours, by the transport that `ureq` lets its users put below it.
use crate::Failed;
use crate::tls::Tls;
use rustls::{ClientConnection, StreamOwned};
use serde_json::Value;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use ureq::unversioned::resolver::DefaultResolver;
use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, LazyBuffers, NextTimeout, Transport,
};
use ureq::{Agent, BodyReader};

/// The longest head of an answer.
const HEAD: usize = 16 * 1024;
/// Bytes that are read at once.
const PIECE: usize = 16 * 1024;

/// A connection, with TLS or without.
#[derive(Debug)]
enum Stream {
    Plain(TcpStream),
    Tls(Box<StreamOwned<ClientConnection, TcpStream>>),
}

impl Stream {
    fn socket(&self) -> &TcpStream {
        match self {
            Stream::Plain(s) => s,
            Stream::Tls(t) => &t.sock,
        }
    }

    fn read(&mut self, to: &mut [u8]) -> io::Result<usize> {
        match self {
            Stream::Plain(s) => s.read(to),
            Stream::Tls(t) => t.read(to),
        }
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        match self {
            Stream::Plain(s) => s.write_all(bytes),
            Stream::Tls(t) => t.write_all(bytes).and_then(|()| t.flush()),
        }
    }
}

/// The bounds of a member's connection.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// A connection that is not made within this time has failed.
    pub connect: Duration,
    /// An answer that brings nothing for this long has failed.
    pub silent: Duration,
    /// The longest answer, or line of one that goes on.
    pub most: usize,
}

/// What a member's connections share with whoever asks.
#[derive(Debug, Default)]
struct Shared {
    /// How long a read may bring nothing, in microseconds; it holds from the next read on.
    patience: AtomicU64,
    /// Connections made so far.
    made: AtomicU64,
}

/// Makes connections for `ureq`.
#[derive(Debug)]
struct Dial {
    addr: SocketAddr,
    tls: Option<Arc<Tls>>,
    bounds: Bounds,
    shared: Arc<Shared>,
}

impl Connector for Dial {
    type Out = Link;

    fn connect(&self, _: &ConnectionDetails, _: Option<()>) -> Result<Option<Link>, ureq::Error> {
        let socket = routing::socket::connect(self.addr, self.bounds.connect)?;
        socket.set_nodelay(true)?;
        socket.set_write_timeout(Some(self.bounds.silent))?;
        // The handshake comes with the first bytes: it reads within this.
        socket.set_read_timeout(Some(self.bounds.silent))?;
        let stream = match &self.tls {
            None => Stream::Plain(socket),
            Some(tls) => Stream::Tls(tls.connect(socket, self.addr.ip())?),
        };
        self.shared.made.fetch_add(1, Ordering::Relaxed);
        Ok(Some(Link { stream, buffers: LazyBuffers::new(PIECE, PIECE), shared: self.shared.clone() }))
    }
}

/// A connection as `ureq` uses it. The times that it gives are not ours: bounds are set on the socket.
#[derive(Debug)]
struct Link {
    stream: Stream,
    buffers: LazyBuffers,
    shared: Arc<Shared>,
}

impl Transport for Link {
    fn buffers(&mut self) -> &mut dyn Buffers {
        &mut self.buffers
    }

    fn transmit_output(&mut self, amount: usize, _: NextTimeout) -> Result<(), ureq::Error> {
        Ok(self.stream.write(&self.buffers.output()[..amount])?)
    }

    fn await_input(&mut self, _: NextTimeout) -> Result<bool, ureq::Error> {
        let patience = Duration::from_micros(self.shared.patience.load(Ordering::Relaxed).max(1));
        self.stream.socket().set_read_timeout(Some(patience))?;
        let read = loop {
            match self.stream.read(self.buffers.input_append_buf()) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                read => break read?,
            }
        };
        self.buffers.input_appended(read);
        Ok(read > 0)
    }

    /// A kept connection that has something to read was closed, or brings what nobody asked for.
    fn is_open(&mut self) -> bool {
        let socket = self.stream.socket();
        let quiet = socket.set_nonblocking(true).is_ok()
            && matches!(socket.peek(&mut [0]), Err(e) if e.kind() == io::ErrorKind::WouldBlock);
        socket.set_nonblocking(false).is_ok() && quiet
    }

    fn is_tls(&self) -> bool {
        matches!(self.stream, Stream::Tls(_))
    }
}

/// One member.
pub struct Member {
    /// Where it listens.
    pub addr: SocketAddr,
    tls: Option<Arc<Tls>>,
    bounds: Bounds,
    agent: Agent,
    shared: Arc<Shared>,
    /// A header that proves who asks.
    pub proof: Option<(&'static str, String)>,
}

impl Member {
    /// A member that nothing is connected to yet.
    pub fn new(addr: SocketAddr, tls: Option<Arc<Tls>>, bounds: Bounds) -> Member {
        let shared = Arc::new(Shared::default());
        let config = Agent::config_builder()
            // Neither the environment nor an answer sends us elsewhere, and a refusal is an answer.
            .proxy(None)
            .max_redirects(0)
            .http_status_as_error(false)
            .max_response_header_size(HEAD)
            .max_idle_connections(1)
            .max_idle_age(Duration::from_secs(3600))
            .build();
        let dial = Dial { addr, tls: tls.clone(), bounds, shared: shared.clone() };
        let agent = Agent::with_parts(config, dial, DefaultResolver::default());
        Member { addr, tls, bounds, agent, shared, proof: None }
    }

    /// The same member, on a connection of its own.
    pub fn beside(&self) -> Member {
        let mut beside = Member::new(self.addr, self.tls.clone(), self.bounds);
        beside.proof = self.proof.clone();
        beside
    }

    fn patience(&self, silent: Duration) {
        self.shared.patience.store(silent.as_micros() as u64, Ordering::Relaxed);
    }

    /// Asks, and gives the answer with its body unread. A kept connection that had been closed is made anew.
    fn ask(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
        silent: Duration,
    ) -> Result<ureq::http::Response<ureq::Body>, ureq::Error> {
        self.patience(silent);
        let once = || {
            let mut request = ureq::http::Request::builder()
                .method(method)
                .uri(format!("http://{}{path}", self.addr))
                .header("Content-Type", "application/json");
            if let Some((name, value)) = &self.proof {
                request = request.header(*name, value);
            }
            match method {
                "GET" => self.agent.run(request.body(())?),
                _ => self.agent.run(request.body(body)?),
            }
        };
        let before = self.shared.made.load(Ordering::Relaxed);
        match once() {
            // It had been closed while it was kept: every request here may be made twice.
            Err(ureq::Error::Io(e))
                if self.shared.made.load(Ordering::Relaxed) == before
                    && before > 0
                    && !matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) =>
            {
                once()
            }
            answer => answer,
        }
    }

    /// Asks, and reads the whole answer.
    pub fn whole(&mut self, method: &str, path: &str, body: &[u8]) -> Result<Whole, Failed> {
        self.whole_within(method, path, body, self.bounds.silent)
    }

    /// The same with another patience.
    pub fn whole_within(
        &mut self,
        method: &str,
        path: &str,
        body: &[u8],
        silent: Duration,
    ) -> Result<Whole, Failed> {
        let mut answer = self.ask(method, path, body, silent)?;
        let body = answer.body_mut().with_config().limit(self.bounds.most as u64).read_to_vec()?;
        let header = |name: &str| answer.headers().get(name).and_then(|v| v.to_str().ok());
        let index = header("x-consul-index").and_then(|i| i.parse().ok());
        let leader = header("x-consul-knownleader") != Some("false");
        Ok(Whole { code: answer.status().as_u16(), body, index, leader })
    }

    /// Asks for an answer that goes on, line by line: its head within `head`, then nothing longer than `quiet` without
    /// an error of patience.
    pub fn lines(
        &mut self,
        path: &str,
        body: &[u8],
        head: Duration,
        quiet: Duration,
    ) -> Result<Lines, Failed> {
        let answer = self.ask("POST", path, body, head)?;
        self.patience(quiet);
        let code = answer.status().as_u16();
        let from = BufReader::with_capacity(PIECE, answer.into_body().into_reader());
        Ok(Lines { code, from, most: self.bounds.most, partial: Vec::new() })
    }
}

/// An answer that goes on.
pub struct Lines {
    /// The status code.
    pub code: u16,
    from: BufReader<BodyReader<'static>>,
    most: usize,
    /// Of a line that has not come whole before the patience was over.
    partial: Vec<u8>,
}

impl Lines {
    /// Reads one line, its end left out; `false` when the answer has ended. After an error of patience it can be called
    /// again, and nothing is lost.
    pub fn line(&mut self, line: &mut Vec<u8>) -> io::Result<bool> {
        line.clear();
        let room = (self.most + 1).saturating_sub(self.partial.len()) as u64;
        (&mut self.from).take(room).read_until(b'\n', &mut self.partial)?;
        std::mem::swap(line, &mut self.partial);
        let ended = line.last() != Some(&b'\n');
        if ended && line.len() > self.most {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "a line is too long"));
        }
        line.truncate(line.len() - usize::from(!ended));
        Ok(!ended || !line.is_empty())
    }
}

/// An answer, read whole.
pub struct Whole {
    /// The status code.
    pub code: u16,
    /// The body.
    pub body: Vec<u8>,
    /// Consul's index.
    pub index: Option<u64>,
    /// Consul knows a leader.
    pub leader: bool,
}

impl Whole {
    /// The body as JSON; anything but a success is a refusal.
    pub fn json(&self) -> Result<Value, Failed> {
        if !(200..300).contains(&self.code) {
            return Err(Failed::Refused(self.code, self.text()));
        }
        serde_json::from_slice(&self.body).map_err(|e| Failed::Broken(format!("no JSON: {e}")))
    }

    /// The beginning of the body, for messages.
    pub fn text(&self) -> String {
        let text = String::from_utf8_lossy(&self.body);
        text.trim().chars().take(200).collect()
    }
}
