//! Detection of loopback connections that are connected to themselves.
use std::io;
use std::net::TcpStream;
use std::time::Duration;

/// Whether a connection is connected to itself. If no process listens on a loopback port, the kernel may
/// choose that same port as the source port of a connection to it. Such a socket is set to close without
/// lingering, so that it does not block the port for the process that is going to listen there.
pub(crate) fn is_connected_to_itself(socket: &TcpStream) -> io::Result<bool> {
    if socket.local_addr()? != socket.peer_addr()? {
        return Ok(false);
    }
    socket2::SockRef::from(socket).set_linger(Some(Duration::ZERO))?;
    Ok(true)
}
