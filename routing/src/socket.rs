//! Socket operations that the wire protocols share: connecting, reading with a deadline and vectored writing,
//! which block, and a non-blocking peek.
use settings::Limits;
use socket2::SockRef;
use std::io::{self, IoSlice, Read, Write};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Minimum read timeout that is set on a socket, because the operating system interprets zero as "no
/// timeout".
const MIN_READ_TIMEOUT: Duration = Duration::from_millis(1);
/// Minimum read timeout for the server's greeting, even if connecting has used up the connect timeout.
const MIN_GREETING_TIMEOUT: Duration = Duration::from_millis(20);

/// Returns whether an idle connection is open and has no unread data. A server sends nothing without a
/// request, so unread bytes or an end of stream mean that the connection is no longer usable.
pub fn is_idle_and_open(socket: &TcpStream) -> bool {
    peek(socket).is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
}

/// Returns the number of bytes (0 or 1) that can be read without blocking. The bytes remain in the socket's
/// buffer. 0 means the end of the stream.
///
/// # Errors
/// [`io::ErrorKind::WouldBlock`] if there is no unread data; any other error of the connection.
pub fn peek(socket: &TcpStream) -> io::Result<usize> {
    let flags = libc::MSG_PEEK | libc::MSG_DONTWAIT;
    loop {
        match SockRef::from(socket).recv_with_flags(&mut [MaybeUninit::uninit()], flags) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            peeked => return peeked,
        }
    }
}

/// Returns whether a connection failed because this host ran out of file descriptors, memory, ports or
/// buffers. This does not count as a failure of the endpoint.
pub fn is_local_shortage(error: &io::Error) -> bool {
    const SHORTAGES: [i32; 6] =
        [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM, libc::EADDRNOTAVAIL, libc::EAGAIN];
    error.raw_os_error().is_some_and(|code| SHORTAGES.contains(&code))
}

/// Reads from a socket until a deadline, so that a remote end that sends single bytes slowly cannot block a
/// thread indefinitely. The read timeout of the last read remains set on the socket.
pub struct DeadlineReader<'a> {
    socket: &'a TcpStream,
    deadline: Instant,
}

impl<'a> DeadlineReader<'a> {
    /// Creates a reader whose reads fail with [`io::ErrorKind::TimedOut`] after `deadline`.
    pub fn new(socket: &'a TcpStream, deadline: Instant) -> Self {
        DeadlineReader { socket, deadline }
    }
}

impl Read for DeadlineReader<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let mut socket = self.socket;
        loop {
            let remaining = self.deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Err(io::ErrorKind::TimedOut.into());
            }
            self.socket.set_read_timeout(Some(remaining.max(MIN_READ_TIMEOUT)))?;
            match socket.read(buffer) {
                // The socket's timeout counts in ticks of the system and may end slightly before the deadline.
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return result,
            }
        }
    }
}

/// Connects to an address and rejects a connection of the socket to itself. If no process listens on a
/// loopback port of the ephemeral range, the operating system may assign that same port to the local end.
/// Such a connection would read its own writes and prevent the server from binding the port.
///
/// # Errors
/// Returns an error if the connection could not be established within `timeout`, and
/// [`io::ErrorKind::ConnectionRefused`] if the socket was connected to itself.
pub fn connect(addr: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let socket = TcpStream::connect_timeout(&addr, timeout)?;
    if is_self_connection(&socket)? {
        // Close with a reset, so that the port can be bound again immediately.
        SockRef::from(&socket).set_linger(Some(Duration::ZERO))?;
        return Err(io::ErrorKind::ConnectionRefused.into());
    }
    Ok(socket)
}

/// Returns whether both ends of a connection are the same socket.
///
/// # Errors
/// Returns an error if the local or the remote address of the socket cannot be determined.
pub fn is_self_connection(socket: &TcpStream) -> io::Result<bool> {
    Ok(socket.local_addr()? == socket.peer_addr()?)
}

/// Connects to an endpoint and disables Nagle's algorithm. The rest of the backend connect timeout becomes
/// the read timeout for the endpoint's greeting, and the write timeout is the full backend connect timeout.
/// Unlike [`connect`], this function does not check for a connection to itself.
///
/// # Errors
/// Returns an error if the connection could not be established or configured within the backend connect
/// timeout.
pub fn connect_to_endpoint(addr: SocketAddr, limits: &Limits) -> io::Result<TcpStream> {
    let started = Instant::now();
    let socket = TcpStream::connect_timeout(&addr, limits.backend_connect_timeout)?;
    socket.set_nodelay(true)?;
    let remaining =
        limits.backend_connect_timeout.saturating_sub(started.elapsed()).max(MIN_GREETING_TIMEOUT);
    socket.set_read_timeout(Some(remaining))?;
    socket.set_write_timeout(Some(limits.backend_connect_timeout))?;
    Ok(socket)
}

/// Writes all parts in order with as few system calls as possible.
///
/// # Errors
/// Returns an error if the write failed or timed out. In that case the last byte has not been delivered.
pub fn write_all_vectored(mut socket: &TcpStream, parts: &mut [IoSlice<'_>]) -> io::Result<()> {
    let mut remaining = parts;
    // Without this, a write of leading empty parts would return 0 and look like a closed socket.
    IoSlice::advance_slices(&mut remaining, 0);
    while !remaining.is_empty() {
        match socket.write_vectored(remaining) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(written) => IoSlice::advance_slices(&mut remaining, written),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}
