//! A transport for `ureq` with its own connecting, TLS and timeouts.
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

/// A connection with or without TLS.
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

/// State shared between the client of a registry member and its connections.
#[derive(Debug, Default)]
pub(super) struct Shared {
    /// The read timeout in microseconds; a change takes effect at the next read.
    read_timeout_us: AtomicU64,
    /// The number of connections opened so far.
    connections: AtomicU64,
}

impl Shared {
    /// Sets how long a read may receive nothing; takes effect at the next read.
    pub(super) fn set_read_timeout(&self, timeout: Duration) {
        self.read_timeout_us.store(timeout.as_micros() as u64, Ordering::Relaxed);
    }

    fn read_timeout(&self) -> Duration {
        // The operating system rejects a socket timeout of zero.
        Duration::from_micros(self.read_timeout_us.load(Ordering::Relaxed).max(1))
    }

    /// The number of connections opened so far.
    pub(super) fn connections(&self) -> u64 {
        self.connections.load(Ordering::Relaxed)
    }
}

/// Opens connections for `ureq`.
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
        // Applies to the TLS handshake, which takes place at the first read or write.
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

/// A connection used by `ureq`. The timeouts that `ureq` passes are ignored; they are set on the socket
/// instead.
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

    /// Whether the idle connection is open. A connection with data to read does not count as open: its peer
    /// has closed it or has sent unrequested data.
    fn is_open(&mut self) -> bool {
        let socket = self.stream.socket();
        let has_no_input = socket.set_nonblocking(true).is_ok()
            && matches!(socket.peek(&mut [0]), Err(e) if e.kind() == io::ErrorKind::WouldBlock);
        socket.set_nonblocking(false).is_ok() && has_no_input
    }

    fn is_tls(&self) -> bool {
        matches!(self.stream, Stream::Tls(_))
    }
}
