//! A connection to a server that has logged in: reading from it needs no permit. What is written to it does, see
//! [`super::permitted_writes`].
use crate::socket::{self, DeadlineReader};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Instant;

/// A connection to a server that has logged in. Copies share one socket.
#[derive(Clone, Debug)]
pub struct ServerSocket(Arc<TcpStream>);

impl ServerSocket {
    /// Only a finished [`Handshake`](super::Handshake) becomes one.
    pub(super) fn new(stream: Arc<TcpStream>) -> ServerSocket {
        ServerSocket(stream)
    }

    /// The stream, for the writes that a permit allows.
    pub(super) fn stream(&self) -> &TcpStream {
        &self.0
    }

    /// A reader whose reads fail with [`io::ErrorKind::TimedOut`] from `deadline` on.
    pub fn reader(&self, deadline: Instant) -> DeadlineReader<'_> {
        DeadlineReader::new(&self.0, deadline)
    }

    /// Whether the connection is open and nothing has arrived on it.
    pub fn is_idle_and_open(&self) -> bool {
        socket::is_idle_and_open(&self.0)
    }

    /// The local address of the connection.
    ///
    /// # Errors
    /// The error of the operating system if it does not know the address any more.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }

    /// Shuts both directions down, which ends every read that waits.
    pub(super) fn shut_down(&self) {
        // An error means that it is closed already.
        _ = self.0.shutdown(Shutdown::Both);
    }
}
