//! Requests to one member of the registry, one after the other on a connection that is kept.
use crate::Failed;
use crate::tls::Tls;
use http1::{Answer, Body};
use rustls::{ClientConnection, StreamOwned};
use serde_json::Value;
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// A connection, with TLS or without.
pub enum Stream {
    /// Without.
    Plain(TcpStream),
    /// With.
    Tls(Box<StreamOwned<ClientConnection, TcpStream>>),
}

impl Stream {
    /// The socket below.
    pub fn socket(&self) -> &TcpStream {
        match self {
            Stream::Plain(s) => s,
            Stream::Tls(t) => &t.sock,
        }
    }
}

impl Read for Stream {
    fn read(&mut self, to: &mut [u8]) -> io::Result<usize> {
        match self {
            Stream::Plain(s) => s.read(to),
            Stream::Tls(t) => t.read(to),
        }
    }
}

impl Write for Stream {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self {
            Stream::Plain(s) => s.write(bytes),
            Stream::Tls(t) => t.write(bytes),
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        match self {
            Stream::Plain(s) => s.flush(),
            Stream::Tls(t) => t.flush(),
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

/// One member.
pub struct Member {
    /// Where it listens.
    pub addr: SocketAddr,
    tls: Option<Arc<Tls>>,
    bounds: Bounds,
    kept: Option<BufReader<Stream>>,
    /// A header that proves who asks.
    pub proof: Option<(&'static str, String)>,
}

impl Member {
    /// A member that nothing is connected to yet.
    pub fn new(addr: SocketAddr, tls: Option<Arc<Tls>>, bounds: Bounds) -> Member {
        Member { addr, tls, bounds, kept: None, proof: None }
    }

    /// The same member, on a connection of its own.
    pub fn beside(&self) -> Member {
        Member {
            addr: self.addr,
            tls: self.tls.clone(),
            bounds: self.bounds,
            kept: None,
            proof: self.proof.clone(),
        }
    }

    fn connect(&self) -> io::Result<BufReader<Stream>> {
        let socket = routing::wire::dial(self.addr, self.bounds.connect)?;
        socket.set_nodelay(true)?;
        socket.set_write_timeout(Some(self.bounds.silent))?;
        let stream = match &self.tls {
            None => Stream::Plain(socket),
            Some(tls) => Stream::Tls(tls.connect(socket, self.addr.ip())?),
        };
        Ok(BufReader::with_capacity(16 * 1024, stream))
    }

    /// Asks, and gives the answer with its body unread. A kept connection that had been closed is made anew.
    pub fn ask(
        &mut self,
        method: &str,
        path: &str,
        body: &[u8],
        silent: Duration,
    ) -> io::Result<Answer<Stream>> {
        let mut kept = self.kept.take();
        loop {
            let fresh = kept.is_none();
            let mut stream = match kept.take() {
                Some(s) => s,
                None => self.connect()?,
            };
            stream.get_ref().socket().set_read_timeout(Some(silent))?;
            let mut head = format!(
                "{method} {path} HTTP/1.1\r\nHost: {}\r\nContent-Length: {}\r\n",
                self.addr,
                body.len()
            );
            if let Some((name, value)) = &self.proof {
                head.push_str(&format!("{name}: {value}\r\n"));
            }
            head.push_str("Content-Type: application/json\r\n\r\n");
            let request = [head.as_bytes(), body].concat();
            let sent = stream.get_mut().write_all(&request).and_then(|()| stream.get_mut().flush());
            match sent.and_then(|()| Answer::read(stream, self.bounds.most)) {
                Ok(answer) => return Ok(answer),
                // It had been closed while it was kept: every request here may be made twice.
                Err(e)
                    if !fresh && !matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                }
                Err(e) => return Err(e),
            }
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
        let body = answer.body.whole()?;
        let (code, keeps) = (answer.code, answer.keeps_open());
        let index = answer.header("x-consul-index").and_then(|i| i.parse().ok());
        let leader = answer.header("x-consul-knownleader") != Some("false");
        if keeps {
            self.kept = Some(answer.body.connection());
        }
        Ok(Whole { code, body, index, leader })
    }

    /// Sets how long a body that goes on may be silent.
    pub fn patience(body: &mut Body<Stream>, silent: Duration) -> io::Result<()> {
        body.connection_mut().socket().set_read_timeout(Some(silent))
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
