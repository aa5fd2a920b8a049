//! Connecting to a server and logging in.
use super::attempt::ConnectionPermit;
use super::server_socket::ServerSocket;
use crate::socket::{self, DeadlineReader};
use decision::Outcome;
use settings::Limits;
use socket2::SockRef;
use std::io::{self, IoSlice};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A connection to a server that is logging in. No request can be written to it.
#[derive(Debug)]
pub struct Handshake {
    /// `None` after the handshake is finished.
    socket: Option<Arc<TcpStream>>,
}

impl Handshake {
    /// Connects and disables Nagle's algorithm. The rest of the backend connect timeout becomes the read
    /// timeout for the server's greeting, and the write timeout is the full backend connect timeout.
    ///
    /// # Errors
    /// [`Outcome::ConnectFailed`] if the connection could not be established or configured within the backend
    /// connect timeout; [`Outcome::NeverSent`] if this host lacked the resources for it, which does not count
    /// as a failure of the server.
    pub fn connect(
        _permit: ConnectionPermit,
        addr: SocketAddr,
        limits: &Limits,
    ) -> Result<Handshake, Outcome> {
        let connected = socket::connect_to_endpoint(addr, limits);
        match connected {
            Ok(socket) => Ok(Handshake { socket: Some(Arc::new(socket)) }),
            Err(error) if socket::is_local_shortage(&error) => {
                tracing::warn!(%error, %addr, "backend connection not opened, this host lacks resources");
                Err(Outcome::NeverSent)
            }
            Err(_) => Err(Outcome::ConnectFailed),
        }
    }

    fn stream(&self) -> io::Result<&TcpStream> {
        self.socket.as_deref().ok_or_else(|| io::ErrorKind::NotConnected.into())
    }

    /// Writes a part of the login exchange.
    ///
    /// # Errors
    /// Returns an error if the write failed or timed out.
    pub fn write(&self, parts: &mut [IoSlice<'_>]) -> io::Result<()> {
        socket::write_all_vectored(self.stream()?, parts)
    }

    /// Returns a reader that reads until the deadline.
    ///
    /// # Errors
    /// Returns an error if the handshake is already finished.
    pub fn reader(&self, deadline: Instant) -> io::Result<DeadlineReader<'_>> {
        Ok(DeadlineReader::new(self.stream()?, deadline))
    }

    /// Converts the handshake to a [`ServerSocket`] after a successful login.
    ///
    /// # Errors
    /// Returns an error if the handshake is already finished.
    pub fn finish(mut self) -> io::Result<ServerSocket> {
        self.socket.take().map(ServerSocket::new).ok_or_else(|| io::ErrorKind::NotConnected.into())
    }
}

impl Drop for Handshake {
    /// If no process listens on a loopback port of the ephemeral range, the operating system may connect a
    /// socket to itself. The login fails on such a connection, which is then closed with a reset, so that the
    /// server can bind the port immediately.
    fn drop(&mut self) {
        if let Some(socket) = &self.socket
            && socket::is_self_connection(socket).unwrap_or(false)
        {
            _ = SockRef::from(&**socket).set_linger(Some(Duration::ZERO));
        }
    }
}
