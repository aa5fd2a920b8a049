//! A connection to a server. What is written to it needs a permit; reading does not.
use super::attempt::{ConnectionPermit, WritePermit};
use crate::socket::{self, DeadlineReader};
use decision::Outcome;
use settings::Limits;
use socket2::SockRef;
use std::io::{self, IoSlice};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A connection to a server that has logged in. Copies share one socket.
#[derive(Clone, Debug)]
pub struct ServerSocket(Arc<TcpStream>);

impl ServerSocket {
    /// Reads up to a deadline.
    pub fn reader(&self, deadline: Instant) -> DeadlineReader<'_> {
        DeadlineReader::new(&self.0, deadline)
    }

    /// Whether the connection is open and nothing has arrived on it.
    pub fn is_idle_and_open(&self) -> bool {
        socket::is_idle_and_open(&self.0)
    }

    /// The address that this end has.
    ///
    /// # Errors
    /// The system's.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }

    /// Writes what is no request and has no effect, to check that the connection stands.
    ///
    /// # Errors
    /// The write failed or timed out.
    pub fn write_check(&self, _permit: ConnectionPermit, parts: &mut [IoSlice<'_>]) -> io::Result<()> {
        socket::write_all_vectored(&self.0, parts)
    }

    /// Writes a part of a request, or what prepares it, which is not its last.
    ///
    /// # Errors
    /// The write failed or timed out: the request's last byte has not been delivered.
    pub fn write_part(&self, _permit: &WritePermit, parts: &mut [IoSlice<'_>]) -> io::Result<()> {
        socket::write_all_vectored(&self.0, parts)
    }

    /// Writes the last part of a request, which counts as sent then.
    ///
    /// # Errors
    /// The write failed or timed out: the request's last byte has not been delivered.
    pub fn write_last(&self, permit: WritePermit, parts: &mut [IoSlice<'_>]) -> io::Result<()> {
        socket::write_all_vectored(&self.0, parts)?;
        permit.consume();
        Ok(())
    }

    /// Shuts both sides down, which ends whatever reads.
    pub(super) fn shut_down(&self) {
        // An error means that it is closed already.
        _ = self.0.shutdown(Shutdown::Both);
    }
}

/// A connection to a server that comes up: it is connected, and its login is exchanged. No request can be written to it.
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
    /// [`Outcome::NeverSent`] if this host lacked what it takes, which is not held against the server.
    pub fn connect(
        _permit: ConnectionPermit,
        addr: SocketAddr,
        limits: &Limits,
    ) -> Result<Handshake, Outcome> {
        let connected = socket::connect_to_endpoint(addr, limits);
        match connected {
            Ok(socket) => Ok(Handshake { socket: Some(Arc::new(socket)) }),
            Err(error) if socket::is_local_shortage(&error) => {
                tracing::warn!(%error, "no connection to {addr} for lack of this host's own resources");
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
        self.socket.take().map(ServerSocket).ok_or_else(|| io::ErrorKind::NotConnected.into())
    }
}

impl Drop for Handshake {
    /// Where nobody listens on a loopback port of the range for outgoing connections, the system may connect a socket to
    /// itself. No login succeeds on it; it is reset, so that the port is free for the server at once.
    fn drop(&mut self) {
        if let Some(socket) = &self.socket
            && socket::is_self_connection(socket).unwrap_or(false)
        {
            _ = SockRef::from(&**socket).set_linger(Some(Duration::ZERO));
        }
    }
}
