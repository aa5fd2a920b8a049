//! A connection to a server after login. Reading requires no permit, whereas the write operations in
//! [`super::permitted_writes`] do.
use crate::socket::{self, DeadlineReader};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Instant;

/// A connection to a server after login. Clones share one socket.
#[derive(Clone, Debug)]
pub struct ServerSocket(Arc<TcpStream>);

impl ServerSocket {
    /// Created only by a finished [`Handshake`](super::Handshake).
    pub(super) fn new(stream: Arc<TcpStream>) -> ServerSocket {
        ServerSocket(stream)
    }

    /// Returns the stream for write operations that require a permit.
    pub(super) fn stream(&self) -> &TcpStream {
        &self.0
    }

    /// Returns a reader whose reads fail with [`io::ErrorKind::TimedOut`] after `deadline`.
    pub fn reader(&self, deadline: Instant) -> DeadlineReader<'_> {
        DeadlineReader::new(&self.0, deadline)
    }

    /// Returns whether the connection is open and has no unread data.
    pub fn is_idle_and_open(&self) -> bool {
        socket::is_idle_and_open(&self.0)
    }

    /// Returns the local address of the connection.
    ///
    /// # Errors
    /// Returns the error of the operating system if the address is no longer available.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }

    /// Shuts down both directions, which unblocks any pending read.
    pub(super) fn shut_down(&self) {
        // An error means that the socket is already closed.
        _ = self.0.shutdown(Shutdown::Both);
    }
}
