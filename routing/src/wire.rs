//! What the core asks of a wire.
pub use crate::stop::Stop;
use decision::{Outcome, Report, Time};
use settings::Limits;
use socket2::SockRef;
use std::io::{self, IoSlice, Read, Write};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// One piece of work for a link.
pub enum Work<'a, W: Wire> {
    /// A request's payload, and the moment at which the router stops waiting for it.
    Attempt(&'a W::Payload, Instant),
    /// Ask the instance for its report.
    Probe,
}

/// How a piece of work ended on a link.
pub struct Reply<A> {
    /// How it ended.
    pub outcome: Outcome,
    /// What the client gets, where it was served.
    pub answer: Option<A>,
    /// What the answer's note says of the instance; for a write that was served, its position is the commit where
    /// none is told apart.
    pub note: Report,
    /// When it was committed, should it have been a write: this says nothing of an instance that served a read.
    pub commit: Option<Time>,
    /// A load report.
    pub report: Report,
    /// The link can carry another piece of work.
    pub reusable: bool,
}

impl<A> Reply<A> {
    /// An end that tells nothing more; the link is not used again.
    pub fn bare(outcome: Outcome) -> Self {
        let (note, report) = (Report::default(), Report::default());
        Reply { outcome, answer: None, note, commit: None, report, reusable: false }
    }
}

/// A wire to instances.
pub trait Wire: Send + Sync + Sized + 'static {
    /// What a request brings to an instance.
    type Payload: Send + Sync + 'static;
    /// What an instance answers.
    type Answer: Send + 'static;
    /// A connection to an instance.
    type Link: Link<Self> + Send;
    /// Opens a connection that is ready for work. Where it fails, nothing has run: the outcome says whether
    /// the instance turned it away or could not be reached.
    fn open(&self, addr: SocketAddr) -> Result<Self::Link, Outcome>;
}

/// A connection that carries one piece of work at a time.
pub trait Link<W: Wire> {
    /// The connection, for whoever must end the work.
    fn socket(&self) -> Arc<TcpStream>;
    /// Whether an idle connection still stands; nothing must be written to one that does not. One that has rested
    /// for long may have been forgotten on the way without a word: a wire asks across it, or says that it does not.
    fn alive(&mut self, rested: Duration) -> bool;
    /// Carries one piece of work to its end, or says that the connection broke before the last byte of it was
    /// written. [`Stop::begin`] is asked right before the first byte, also of what only makes ready for the work and of
    /// all that is written anew after an answer; [`Stop::written`] is told right after the last.
    fn carry(&mut self, work: Work<'_, W>, stop: &Stop) -> Result<Reply<W::Answer>, Unsent>;
}

/// The work was not written whole, so it never ran.
#[derive(Debug, PartialEq, Eq)]
pub enum Unsent {
    /// The connection broke.
    Broken,
    /// It was stopped before its first byte.
    Stopped,
}

/// Whether an idle connection stands: the other side has nothing to say on one, so bytes or an end mean that it
/// is no good any more.
pub fn idle_and_open(socket: &TcpStream) -> bool {
    peek(socket).is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
}

/// How many bytes, one at most, could be read without waiting; they stay where they are.
pub fn peek(socket: &TcpStream) -> io::Result<usize> {
    let now = libc::MSG_PEEK | libc::MSG_DONTWAIT;
    SockRef::from(socket).recv_with_flags(&mut [MaybeUninit::uninit()], now)
}

/// Reads a connection up to a moment: one that brings a byte now and then must not hold its thread for good.
pub struct Until<'a>(pub &'a TcpStream, pub Instant);

impl Read for Until<'_> {
    fn read(&mut self, to: &mut [u8]) -> io::Result<usize> {
        let left = self.1.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.0.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        let mut socket = self.0;
        socket.read(to)
    }
}

/// Connects, and never to itself: where nobody listens on a loopback port from which outgoing connections are taken, the
/// system may choose that very port for this end, and the connection would answer itself and keep the port from whoever
/// is to listen there. Then nobody listens, and that is what is said.
pub fn dial(addr: SocketAddr, within: Duration) -> io::Result<TcpStream> {
    let socket = TcpStream::connect_timeout(&addr, within)?;
    if is_own_echo(&socket)? {
        // Closed without a trace, so that the port is free at once.
        SockRef::from(&socket).set_linger(Some(Duration::ZERO))?;
        return Err(io::ErrorKind::ConnectionRefused.into());
    }
    Ok(socket)
}

/// Whether a connection is one to itself.
///
/// # Errors
/// Where it has no two ends any more.
pub fn is_own_echo(socket: &TcpStream) -> io::Result<bool> {
    Ok(socket.local_addr()? == socket.peer_addr()?)
}

/// A connection to an instance, with what is left of `limits.connect` as the bound of each read while it comes up.
pub fn connect(addr: SocketAddr, limits: &Limits) -> io::Result<TcpStream> {
    let begun = Instant::now();
    let socket = TcpStream::connect_timeout(&addr, limits.connect)?;
    socket.set_nodelay(true)?;
    // The connection as a whole has to come up in time, its greeting included.
    let left = limits.connect.saturating_sub(begun.elapsed()).max(Duration::from_millis(20));
    socket.set_read_timeout(Some(left))?;
    socket.set_write_timeout(Some(limits.connect))?;
    Ok(socket)
}

/// Writes all parts, gathered into as few calls as the socket takes them in.
pub fn write_gathered(mut to: &TcpStream, parts: &mut [IoSlice<'_>]) -> io::Result<()> {
    let mut left = parts;
    // Empty parts at the front would look like a closed socket.
    IoSlice::advance_slices(&mut left, 0);
    while !left.is_empty() {
        match to.write_vectored(left) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(n) => IoSlice::advance_slices(&mut left, n),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}
