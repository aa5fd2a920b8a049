//! The listening socket for clients: either bound by this process, or opened by the platform and inherited by
//! every process of the router, so that two processes can serve at the same time.
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use socket2::{SockAddr, Socket, Type};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsFd, FromRawFd, OwnedFd, RawFd};
use std::time::Duration;

/// How long an accept on an inherited listener blocks before the caller checks whether the server still
/// accepts. An accept on an inherited listener cannot be woken by connecting to it, because another process
/// might accept that connection.
const INHERITED_ACCEPT_TIMEOUT: Duration = Duration::from_millis(50);

/// Timeout for the connection that wakes a blocked accept.
const WAKE_TIMEOUT: Duration = Duration::from_millis(100);

/// The highest descriptor of the standard streams (input, output and error).
const LAST_STANDARD_DESCRIPTOR: RawFd = 2;

/// Why an inherited socket cannot be used as a listener.
#[derive(Debug, thiserror::Error)]
pub enum InheritedSocketError {
    /// The text is not the number of a descriptor above 2.
    #[error(
        "expected the number of a descriptor above 2, found '{0}': unset the variable to listen on `listen`"
    )]
    InvalidDescriptor(String),
    /// The descriptor is not open, or is not a TCP listener.
    #[error("descriptor {0} is no listening TCP socket: let the platform pass it, or unset the variable")]
    NotListening(RawFd),
    /// A system call on the descriptor failed.
    #[error("descriptor {0} cannot be used ({1}): restart the process with a newly passed socket")]
    System(RawFd, io::Error),
}

/// A listening socket for clients.
#[derive(Debug)]
pub enum ClientListener {
    /// A listener that only this process uses.
    Exclusive(TcpListener),
    /// A listener that is shared with other processes of this router.
    Inherited(TcpListener),
}

impl ClientListener {
    /// Takes ownership of the listener with this descriptor number, which is closed when this process ends.
    ///
    /// # Errors
    /// Fails if the descriptor is not a listener. The descriptor is left unchanged then.
    pub fn from_inherited_descriptor(descriptor: &str) -> Result<ClientListener, InheritedSocketError> {
        let number = descriptor.trim().parse().ok().filter(|n: &RawFd| *n > LAST_STANDARD_DESCRIPTOR);
        let fd = number.ok_or_else(|| InheritedSocketError::InvalidDescriptor(descriptor.to_string()))?;
        // SAFETY: F_GETFD accepts any number and changes nothing.
        if unsafe { libc::fcntl(fd, libc::F_GETFD) } < 0 {
            return Err(InheritedSocketError::NotListening(fd));
        }
        // SAFETY: the descriptor is open, and the platform has passed it to this process for this use alone.
        let socket = Socket::from(unsafe { OwnedFd::from_raw_fd(fd) });
        let address = socket.local_addr().ok().and_then(|a| a.as_socket());
        if !socket.is_listener().unwrap_or(false) || address.is_none() {
            // The descriptor was opened for another purpose, so it must stay open.
            std::mem::forget(socket);
            return Err(InheritedSocketError::NotListening(fd));
        }
        socket
            .set_read_timeout(Some(INHERITED_ACCEPT_TIMEOUT))
            .map_err(|e| InheritedSocketError::System(fd, e))?;
        Ok(ClientListener::Inherited(socket.into()))
    }

    fn listener(&self) -> &TcpListener {
        match self {
            ClientListener::Exclusive(listener) | ClientListener::Inherited(listener) => listener,
        }
    }

    /// Returns the address that the listener is bound to.
    ///
    /// # Errors
    /// Returns the system's error if the socket has no address.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener().local_addr()
    }

    /// Duplicates the handle of the listener.
    ///
    /// # Errors
    /// Returns the system's error, for example if the process is out of descriptors.
    pub fn try_clone(&self) -> io::Result<ClientListener> {
        Ok(match self {
            ClientListener::Exclusive(listener) => ClientListener::Exclusive(listener.try_clone()?),
            ClientListener::Inherited(listener) => ClientListener::Inherited(listener.try_clone()?),
        })
    }

    /// Waits for at most `timeout`; returns whether a connection is ready to be accepted.
    pub(crate) fn wait_until_ready(&self, timeout: Duration) -> bool {
        let timeout = PollTimeout::try_from(timeout).unwrap_or(PollTimeout::ZERO);
        let ready = poll(&mut [PollFd::new(self.listener().as_fd(), PollFlags::POLLIN)], timeout);
        ready.is_ok_and(|count| count > 0)
    }

    /// Waits for the next connection; returns `None` if the caller should check whether the server still
    /// accepts.
    ///
    /// # Errors
    /// Returns the system's error, for example if the process is out of descriptors or the client has
    /// disconnected already.
    pub fn accept(&self) -> io::Result<Option<(TcpStream, SocketAddr)>> {
        match (self.listener().accept(), self) {
            (Ok(accepted), ClientListener::Exclusive(_)) => Ok(Some(accepted)),
            (Ok((socket, address)), ClientListener::Inherited(_)) => {
                // The accepted socket must not have the listener's read timeout.
                socket.set_read_timeout(None)?;
                Ok(Some((socket, address)))
            }
            (Err(e), ClientListener::Inherited(_)) if e.kind() == io::ErrorKind::WouldBlock => Ok(None),
            (Err(e), _) => Err(e),
        }
    }

    /// Returns a waker for the thread that blocks in [`ClientListener::accept`].
    ///
    /// # Errors
    /// Returns the system's error, for example if the process is out of descriptors.
    pub fn waker(&self) -> io::Result<AcceptWaker> {
        let target = match self {
            ClientListener::Exclusive(listener) => {
                let address = SockAddr::from(listener.local_addr()?);
                Some((Socket::new(address.domain(), Type::STREAM, None)?, address))
            }
            ClientListener::Inherited(_) => None,
        };
        Ok(AcceptWaker { target })
    }

    /// Returns the connections in the listen backlog, which the kernel has accepted and this process has not.
    /// The listener is closed when the iterator is dropped.
    pub fn into_backlog(self) -> impl Iterator<Item = (TcpStream, SocketAddr)> {
        let never_blocks = match &self {
            ClientListener::Exclusive(listener) => listener.set_nonblocking(true).is_ok(),
            ClientListener::Inherited(_) => true,
        };
        std::iter::from_fn(move || if never_blocks { self.accept().ok().flatten() } else { None })
    }
}

/// Wakes the thread that blocks in [`ClientListener::accept`]. The waker holds an open descriptor, because at
/// shutdown client connections may use all others.
#[derive(Debug)]
pub struct AcceptWaker {
    /// An unconnected socket and the listener's address; `None` if accepts time out by themselves.
    target: Option<(Socket, SockAddr)>,
}

impl AcceptWaker {
    /// Wakes the accept thread. The waker works only once.
    pub fn wake(&self) {
        if let Some((socket, address)) = &self.target {
            // A blocked accept returns only for a connection. If this connection fails, the backlog is full
            // of other connections, which also wake the accept.
            _ = socket.connect_timeout(address, WAKE_TIMEOUT);
            _ = socket.shutdown(Shutdown::Both);
        }
    }
}
