//! Socket operations that the wire protocols share: connecting, reading up to a deadline and writing several parts, all
//! blocking, and a non-blocking peek.
use settings::Limits;
use socket2::SockRef;
use std::io::{self, IoSlice, Read, Write};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The shortest read timeout that is set: the operating system reads zero as "no timeout".
const MIN_READ_TIMEOUT: Duration = Duration::from_millis(1);
/// The shortest read timeout for a server's greeting, however long connecting took.
const MIN_GREETING_TIMEOUT: Duration = Duration::from_millis(20);

/// Whether an idle connection is open and nothing has arrived on it. The server sends nothing unasked, so bytes or an end
/// of stream mean that the connection is not usable any more.
pub fn is_idle_and_open(socket: &TcpStream) -> bool {
    peek(socket).is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
}

/// The number of bytes, 0 or 1, that can be read without blocking; they stay in the socket's buffer. 0 is the end of the
/// stream.
///
/// # Errors
/// [`io::ErrorKind::WouldBlock`] if nothing has arrived; any other error of the connection.
pub fn peek(socket: &TcpStream) -> io::Result<usize> {
    let flags = libc::MSG_PEEK | libc::MSG_DONTWAIT;
    loop {
        match SockRef::from(socket).recv_with_flags(&mut [MaybeUninit::uninit()], flags) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            looked => return looked,
        }
    }
}

/// Whether a connection failed for lack of this host's own descriptors, memory, ports or buffers, which is no failure of
/// the endpoint.
pub fn is_local_shortage(error: &io::Error) -> bool {
    const SHORTAGES: [i32; 6] =
        [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM, libc::EADDRNOTAVAIL, libc::EAGAIN];
    error.raw_os_error().is_some_and(|code| SHORTAGES.contains(&code))
}

/// Reads from a socket until a deadline, so that a peer that sends a byte now and then can't occupy a thread indefinitely.
/// The socket keeps the read timeout of the last read.
pub struct DeadlineReader<'a> {
    socket: &'a TcpStream,
    deadline: Instant,
}

impl<'a> DeadlineReader<'a> {
    /// A reader whose reads fail with [`io::ErrorKind::TimedOut`] from `deadline` on.
    pub fn new(socket: &'a TcpStream, deadline: Instant) -> Self {
        DeadlineReader { socket, deadline }
    }
}

impl Read for DeadlineReader<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.socket.set_read_timeout(Some(remaining.max(MIN_READ_TIMEOUT)))?;
        let mut socket = self.socket;
        socket.read(buffer)
    }
}

/// Connects, and never to itself: if nobody listens on a loopback port of the ephemeral range, the operating system may
/// choose that very port for this end. Such a connection would read what it writes, and the server could not listen on
/// the port.
///
/// # Errors
/// The connection could not be made within `timeout`; [`io::ErrorKind::ConnectionRefused`] also if it was one to itself.
pub fn connect(addr: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let socket = TcpStream::connect_timeout(&addr, timeout)?;
    if is_self_connection(&socket)? {
        // Reset instead of closed, so that the port is free at once.
        SockRef::from(&socket).set_linger(Some(Duration::ZERO))?;
        return Err(io::ErrorKind::ConnectionRefused.into());
    }
    Ok(socket)
}

/// Whether both ends of a connection are the same socket.
///
/// # Errors
/// The connection has lost one of its two ends.
pub fn is_self_connection(socket: &TcpStream) -> io::Result<bool> {
    Ok(socket.local_addr()? == socket.peer_addr()?)
}

/// Connects to an endpoint without Nagle's algorithm. What remains of `limits.connect` becomes the read timeout, for
/// the endpoint's greeting; the write timeout is `limits.connect`. Unlike [`connect`] it does not check for a connection to
/// itself.
///
/// # Errors
/// The connection could not be made or set up within `limits.connect`.
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

/// Writes all parts in order, with as few system calls as the socket allows.
///
/// # Errors
/// The write failed or timed out. Then the last byte has not been delivered.
pub fn write_all_vectored(mut socket: &TcpStream, parts: &mut [IoSlice<'_>]) -> io::Result<()> {
    let mut remaining = parts;
    // Empty parts at the front would look like a closed socket.
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
