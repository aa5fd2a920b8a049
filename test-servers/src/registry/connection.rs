//! A client connection to a member.
use super::http::{Stream, read_request};
use super::shared::Shared;
use super::{consul, etcd, etcd_watch};
use rustls::{ServerConnection, StreamOwned};
use std::io::{self, BufReader};
use std::net::{Shutdown, TcpStream};

/// Whether a member accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Availability {
    Up,
    Down,
}

/// Serves a connection until it is closed. A watch occupies the connection until the watch ends.
pub(super) fn serve(shared: &Shared, member: usize, socket: TcpStream) -> io::Result<()> {
    socket.set_nodelay(true)?;
    {
        let mut state = shared.state();
        let member = &mut state.members[member];
        if member.faults.down {
            return socket.shutdown(Shutdown::Both);
        }
        member.connections.push(socket.try_clone()?);
    }
    let mut stream = BufReader::new(start_tls(shared, socket)?);
    while let Some(request) = read_request(&mut stream)? {
        if wait_until_responsive(shared, member) == Availability::Down {
            break;
        }
        if request.path == etcd_watch::PATH {
            return etcd_watch::serve(shared, member, &request, stream.get_mut().as_mut());
        }
        let delay = shared.state().members[member].faults.response_delay;
        std::thread::sleep(delay);
        let response = if request.path.starts_with(consul::PATH_PREFIX) {
            consul::respond(shared, member, &request)
        } else {
            etcd::respond(shared, member, &request)
        };
        // The fault may have been set while the response was prepared.
        if wait_until_responsive(shared, member) == Availability::Down {
            break;
        }
        response.write_to(stream.get_mut().as_mut())?;
    }
    stream.get_ref().socket().shutdown(Shutdown::Both)
}

/// Wraps the socket in TLS if the registry uses it.
fn start_tls(shared: &Shared, socket: TcpStream) -> io::Result<Box<dyn Stream>> {
    let Some(config) = shared.tls() else { return Ok(Box::new(socket)) };
    let connection = ServerConnection::new(config).map_err(io::Error::other)?;
    Ok(Box::new(StreamOwned::new(connection, socket)))
}

/// Waits while a member is unresponsive, and returns its availability.
fn wait_until_responsive(shared: &Shared, member: usize) -> Availability {
    let state = shared.wait_while(|state| {
        let faults = &state.members[member].faults;
        faults.unresponsive && !faults.down
    });
    if state.members[member].faults.down { Availability::Down } else { Availability::Up }
}
