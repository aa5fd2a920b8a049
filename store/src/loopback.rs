//! Connections over loopback.
use std::io;
use std::net::TcpStream;
use std::time::Duration;

/// Whether a connection has met itself: where nobody listens, it may be given the very port that it connects to. Such a
/// connection is set to close at once, so that it does not keep the port from the process that is to listen there.
pub(crate) fn is_connected_to_itself(socket: &TcpStream) -> io::Result<bool> {
    if socket.local_addr()? != socket.peer_addr()? {
        return Ok(false);
    }
    socket2::SockRef::from(socket).set_linger(Some(Duration::ZERO))?;
    Ok(true)
}
