//! Connecting to a server and the exchange of its login.
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

/// A connection to a server during its login. No request can be written to it.
#[derive(Debug)]
pub struct Handshake {
    /// `None` once it is finished.
    socket: Option<Arc<TcpStream>>,
}

impl Handshake {
    /// Connects without Nagle's algorithm. What remains of `limits.connect` becomes the read timeout, for the server's
    /// greeting; the write timeout is `limits.connect`.
    ///
    /// # Errors
    /// [`Outcome::ConnectFailed`] if the connection could not be made or set up within `limits.connect`,
    /// [`Outcome::NeverSent`] if this host lacked the resources for it, which does not count as a failure of the server.
    pub fn connect(
        _permit: ConnectionPermit,
        addr: SocketAddr,
        limits: &Limits,
    ) -> Result<Handshake, Outcome> {
        let connected = socket::connect_to_endpoint(addr, limits);
        match connected {
            Ok(socket) => Ok(Handshake { socket: Some(Arc::new(socket)) }),
            Err(error) if socket::is_local_shortage(&error) => {
                tracing::warn!(%error, %addr, "backend connection not opened for lack of this host's own resources");
                Err(Outcome::NeverSent)
            }
            Err(_) => Err(Outcome::ConnectFailed),
        }
    }

    fn stream(&self) -> io::Result<&TcpStream> {
        self.socket.as_deref().ok_or_else(|| io::ErrorKind::NotConnected.into())
    }

    /// Writes a part of the login.
    ///
    /// # Errors
    /// The write failed or timed out.
    pub fn write(&self, parts: &mut [IoSlice<'_>]) -> io::Result<()> {
        socket::write_all_vectored(self.stream()?, parts)
    }

    /// Reads up to a deadline.
    ///
    /// # Errors
    /// The handshake is finished.
    pub fn reader(&self, deadline: Instant) -> io::Result<DeadlineReader<'_>> {
        Ok(DeadlineReader::new(self.stream()?, deadline))
    }

    /// The connection has logged in.
    ///
    /// # Errors
    /// It was finished before.
    pub fn finish(mut self) -> io::Result<ServerSocket> {
        self.socket.take().map(ServerSocket::new).ok_or_else(|| io::ErrorKind::NotConnected.into())
    }
}

impl Drop for Handshake {
    /// If nobody listens on a loopback port of the ephemeral range, the operating system may connect a socket to itself.
    /// No login succeeds on it; it is reset, so that the port is free for the server at once.
    fn drop(&mut self) {
        if let Some(socket) = &self.socket
            && socket::is_self_connection(socket).unwrap_or(false)
        {
            _ = SockRef::from(&**socket).set_linger(Some(Duration::ZERO));
        }
    }
}
