//! The thread of one connection: it connects, sends the request and passes on what comes.

use crate::error::ConnectionError;
use crate::json_objects::ObjectSplitter;
use crate::liveness::ConnectionId;
use crate::shared::{Message, OpenConnection, Shared};
use http1::Answer;
use settings::Limits;
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

/// Bytes of the answer that are read at a time.
const READ_BUFFER_BYTES: usize = 8192;

/// Reads a socket that the driver may close. It shares the descriptor instead of duplicating it, since descriptors are
/// scarce.
struct SharedSocket(Arc<TcpStream>);

impl Read for SharedSocket {
    fn read(&mut self, to: &mut [u8]) -> io::Result<usize> {
        (&*self.0).read(to)
    }
}

/// Runs a connection to its end, and sends the driver why it ended.
pub(crate) fn run(addr: SocketAddr, id: ConnectionId, shared: &Shared) {
    let error = exchange(addr, id, shared).err().unwrap_or(ConnectionError::Closed);
    // An error means that the driver has ended.
    _ = shared.driver.send(Message::Ended(id, error));
}

/// Sends the request and reads the answer. `Ok` means that the agent has ended it, or that the driver has ended.
fn exchange(addr: SocketAddr, id: ConnectionId, shared: &Shared) -> Result<(), ConnectionError> {
    let socket = Arc::new(connect(addr, &shared.limits)?);
    let version = shared.resume_version();
    let open = OpenConnection { socket: socket.clone(), version, addr };
    if shared.driver.send(Message::Connected(id, open)).is_err() {
        return Ok(());
    }
    write!(&*socket, "GET /v1/servers?stream=1&index={version} HTTP/1.1\r\nHost: {addr}\r\n\r\n")?;
    let answer = Answer::read(BufReader::with_capacity(READ_BUFFER_BYTES, SharedSocket(socket)))?;
    if answer.code != 200 {
        return Err(ConnectionError::UnexpectedStatus(answer.code));
    }
    forward_items(answer, id, shared)
}

fn connect(addr: SocketAddr, limits: &Limits) -> io::Result<TcpStream> {
    let socket = TcpStream::connect_timeout(&addr, limits.watch_connect)?;
    socket.set_nodelay(true)?;
    socket.set_read_timeout(Some(limits.watch_silent))?;
    socket.set_write_timeout(Some(limits.watch_silent))?;
    Ok(socket)
}

/// Sends the driver each object and empty line of the body. A read that times out is repeated: how long a connection
/// may be silent is decided by the driver, which closes the socket.
fn forward_items(
    answer: Answer<SharedSocket>,
    id: ConnectionId,
    shared: &Shared,
) -> Result<(), ConnectionError> {
    let mut body = answer.body;
    let mut splitter = ObjectSplitter::new(shared.limits.list_bytes);
    let (mut bytes, mut items) = (Vec::new(), Vec::new());
    let mut sent = shared.driver.send(Message::ResponseHead(id));
    while sent.is_ok() {
        match body.some(&mut bytes) {
            Ok(true) => {}
            Ok(false) => return Ok(()),
            Err(e) if is_temporary(&e) => continue,
            Err(e) => return Err(e.into()),
        }
        let split = splitter.push(&bytes, &mut items);
        bytes.clear();
        // What came before the fault still counts.
        sent = items.drain(..).try_for_each(|item| shared.driver.send(Message::Item(id, item)));
        split?;
    }
    Ok(())
}

/// Whether a read only timed out, or was interrupted by a signal.
fn is_temporary(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted)
}
