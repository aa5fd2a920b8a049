//! The transport below `ureq`: connecting, TLS and timeouts of our own.
use super::bounds::{BUFFER_BYTES, Bounds};
use crate::tls::Tls;
use rustls::{ClientConnection, StreamOwned};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, LazyBuffers, NextTimeout, Transport,
};

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

/// What the connections to a member share with the requests on them.
#[derive(Debug, Default)]
pub(super) struct Shared {
    /// How long a read may bring nothing, in microseconds; holds from the next read on.
    read_timeout_us: AtomicU64,
    /// Connections made so far.
    connections: AtomicU64,
}

impl Shared {
    /// How long a read may bring nothing, from the next read on.
    pub(super) fn set_read_timeout(&self, timeout: Duration) {
        self.read_timeout_us.store(timeout.as_micros() as u64, Ordering::Relaxed);
    }

    fn read_timeout(&self) -> Duration {
        // A socket takes no timeout of zero.
        Duration::from_micros(self.read_timeout_us.load(Ordering::Relaxed).max(1))
    }

    /// Connections made so far.
    pub(super) fn connections(&self) -> u64 {
        self.connections.load(Ordering::Relaxed)
    }
}

/// Makes connections for `ureq`.
#[derive(Debug)]
pub(super) struct SocketConnector {
    pub(super) addr: SocketAddr,
    pub(super) tls: Option<Arc<Tls>>,
    pub(super) bounds: Bounds,
    pub(super) shared: Arc<Shared>,
}

impl Connector for SocketConnector {
    type Out = SocketTransport;

    fn connect(&self, _: &ConnectionDetails, _: Option<()>) -> Result<Option<SocketTransport>, ureq::Error> {
        let socket = routing::socket::connect(self.addr, self.bounds.connect_timeout)?;
        socket.set_nodelay(true)?;
        socket.set_write_timeout(Some(self.bounds.read_timeout))?;
        // TLS shakes hands with the first bytes, which are read within this time.
        socket.set_read_timeout(Some(self.bounds.read_timeout))?;
        let stream = match &self.tls {
            None => Stream::Plain(socket),
            Some(tls) => Stream::Tls(tls.connect(socket, self.addr.ip())?),
        };
        self.shared.connections.fetch_add(1, Ordering::Relaxed);
        let buffers = LazyBuffers::new(BUFFER_BYTES, BUFFER_BYTES);
        Ok(Some(SocketTransport { stream, buffers, shared: self.shared.clone() }))
    }
}

/// A connection as `ureq` uses it. Its own timeouts are not used: ours are set on the socket.
#[derive(Debug)]
pub(super) struct SocketTransport {
    stream: Stream,
    buffers: LazyBuffers,
    shared: Arc<Shared>,
}

impl Transport for SocketTransport {
    fn buffers(&mut self) -> &mut dyn Buffers {
        &mut self.buffers
    }

    fn transmit_output(&mut self, amount: usize, _: NextTimeout) -> Result<(), ureq::Error> {
        Ok(self.stream.write(&self.buffers.output()[..amount])?)
    }

    fn await_input(&mut self, _: NextTimeout) -> Result<bool, ureq::Error> {
        self.stream.socket().set_read_timeout(Some(self.shared.read_timeout()))?;
        let read = loop {
            match self.stream.read(self.buffers.input_append_buf()) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                read => break read?,
            }
        };
        self.buffers.input_appended(read);
        Ok(read > 0)
    }

    /// An idle connection that has something to read was closed, or brings what was not requested.
    fn is_open(&mut self) -> bool {
        let socket = self.stream.socket();
        let is_quiet = socket.set_nonblocking(true).is_ok()
            && matches!(socket.peek(&mut [0]), Err(e) if e.kind() == io::ErrorKind::WouldBlock);
        socket.set_nonblocking(false).is_ok() && is_quiet
    }

    fn is_tls(&self) -> bool {
        matches!(self.stream, Stream::Tls(_))
    }
}
