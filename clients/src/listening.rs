//! Where clients come in: a listener of this process's own, or one that the platform holds and every process of the
//! router inherits, so that two may serve side by side.
use socket2::{SockAddr, Socket, Type};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::{FromRawFd, OwnedFd, RawFd};
use std::time::Duration;

/// How long an accept on a passed listener waits before it looks whether it is still wanted. Such a listener must not
/// be woken by a connection to it, which the other process might take.
const LOOK: Duration = Duration::from_millis(50);

/// Why a passed socket can't be listened on.
#[derive(Debug, thiserror::Error)]
pub enum PassedError {
    /// It names no descriptor.
    #[error(
        "expected the number of a descriptor above 2, found '{0}': unset the variable to listen on `listen`"
    )]
    Number(String),
    /// The descriptor is not open, or no TCP listener.
    #[error("descriptor {0} is no listening TCP socket: let the platform pass it, or unset the variable")]
    NotListening(RawFd),
    /// The system refused something.
    #[error("descriptor {0} can't be used ({1}): start the process again with the socket passed anew")]
    System(RawFd, io::Error),
}

/// A listener for clients.
#[derive(Debug)]
pub enum Listening {
    /// Of this process alone.
    Own(TcpListener),
    /// Shared with other processes of this router.
    Passed(TcpListener),
}

impl Listening {
    /// Takes over the listener that stands at this descriptor; it is closed with this process's end.
    ///
    /// # Errors
    /// Where there is none. Nothing has been touched then.
    pub fn passed(descriptor: &str) -> Result<Listening, PassedError> {
        let number = descriptor.trim().parse().ok().filter(|n: &RawFd| *n > 2);
        let fd = number.ok_or_else(|| PassedError::Number(descriptor.to_string()))?;
        // SAFETY: F_GETFD takes any number and touches nothing.
        if unsafe { libc::fcntl(fd, libc::F_GETFD) } < 0 {
            return Err(PassedError::NotListening(fd));
        }
        // SAFETY: it is open, and the platform has handed it to this process for this use alone.
        let socket = Socket::from(unsafe { OwnedFd::from_raw_fd(fd) });
        let addr = socket.local_addr().ok().and_then(|a| a.as_socket());
        if !socket.is_listener().unwrap_or(false) || addr.is_none() {
            // It is somebody else's: it stays open.
            std::mem::forget(socket);
            return Err(PassedError::NotListening(fd));
        }
        socket.set_read_timeout(Some(LOOK)).map_err(|e| PassedError::System(fd, e))?;
        Ok(Listening::Passed(socket.into()))
    }

    fn listener(&self) -> &TcpListener {
        match self {
            Listening::Own(l) | Listening::Passed(l) => l,
        }
    }

    /// Where it listens.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener().local_addr()
    }

    /// Another handle of the same listener.
    pub fn try_clone(&self) -> io::Result<Listening> {
        Ok(match self {
            Listening::Own(l) => Listening::Own(l.try_clone()?),
            Listening::Passed(l) => Listening::Passed(l.try_clone()?),
        })
    }

    /// The next connection; `None` where it is time to look whether more are wanted.
    pub fn accept(&self) -> io::Result<Option<(TcpStream, SocketAddr)>> {
        match (self.listener().accept(), self) {
            (Ok(a), Listening::Own(_)) => Ok(Some(a)),
            (Ok((socket, from)), Listening::Passed(_)) => {
                // The listener's time to wait is its own, not the connection's.
                socket.set_read_timeout(None)?;
                Ok(Some((socket, from)))
            }
            (Err(e), Listening::Passed(_)) if e.kind() == io::ErrorKind::WouldBlock => Ok(None),
            (Err(e), _) => Err(e),
        }
    }

    /// What will wake the thread that waits in [`Listening::accept`].
    pub fn waker(&self) -> io::Result<Waker> {
        match self {
            Listening::Own(l) => {
                let at = SockAddr::from(l.local_addr()?);
                Ok(Waker(Some((Socket::new(at.domain(), Type::STREAM, None)?, at))))
            }
            Listening::Passed(_) => Ok(Waker(None)),
        }
    }

    /// What the kernel has accepted already and nobody has taken.
    pub fn rest(self) -> impl Iterator<Item = (TcpStream, SocketAddr)> {
        let own = match &self {
            Listening::Own(l) => l.set_nonblocking(true).is_ok(),
            Listening::Passed(_) => true,
        };
        std::iter::from_fn(move || if own { self.accept().ok().flatten() } else { None })
    }
}

/// Wakes the thread that waits for connections. It holds its descriptor ready: when clients have taken all, the end must
/// not wait for one to be free.
#[derive(Debug)]
pub struct Waker(Option<(Socket, SockAddr)>);

impl Waker {
    /// Wakes it, once.
    pub fn wake(&self) {
        if let Some((socket, at)) = &self.0 {
            // It hears of nothing but a connection. Where none gets through, there are others, which wake it as well.
            _ = socket.connect_timeout(at, Duration::from_millis(100));
            _ = socket.shutdown(Shutdown::Both);
        }
    }
}
