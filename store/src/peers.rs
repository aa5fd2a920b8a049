//! Transport of raft messages between nodes. A frame is a length (four bytes, little-endian) followed by a
//! protobuf message. Each connection carries messages in one direction only. Messages that cannot be sent are
//! dropped; raft sends them again.
use crate::loopback::is_connected_to_itself;
use crate::threads::{ACCEPT_RETRY_DELAY, spawn};
use crossbeam_channel::{Receiver, Sender, bounded};
use protobuf::Message as _;
use raft::eraftpb::Message;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Maximum number of messages queued for one peer.
const QUEUE_CAPACITY: usize = 256;
/// Maximum length of a received message.
const MAX_MESSAGE_BYTES: usize = 16 << 20;
const LENGTH_BYTES: usize = 4;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Starts the thread that sends messages to a peer, and returns its queue. The thread ends when the last
/// sender of the queue is dropped.
///
/// # Errors
/// Fails if a thread cannot be started.
pub fn start_sender(addr: SocketAddr) -> io::Result<Sender<Message>> {
    let (sender, queue) = bounded::<Message>(QUEUE_CAPACITY);
    spawn("store-to", move || send_all(addr, &queue))?;
    Ok(sender)
}

fn send_all(addr: SocketAddr, queue: &Receiver<Message>) {
    let mut connection: Option<TcpStream> = None;
    for message in queue {
        if connection.is_none() {
            connection = connect(addr);
        }
        let (Some(socket), Ok(body)) = (&mut connection, message.write_to_bytes()) else { continue };
        let frame = [&(body.len() as u32).to_le_bytes()[..], &body].concat();
        if socket.write_all(&frame).is_err() {
            connection = None;
        }
    }
}

fn connect(addr: SocketAddr) -> Option<TcpStream> {
    let socket = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT).ok()?;
    if !matches!(is_connected_to_itself(&socket), Ok(false)) {
        return None;
    }
    // The connection works without these options, so errors are ignored.
    _ = socket.set_nodelay(true);
    _ = socket.set_write_timeout(Some(WRITE_TIMEOUT));
    Some(socket)
}

/// Receives messages from peers until the listener fails. A connection is closed when `deliver` returns
/// `false`.
///
/// # Errors
/// Fails if a thread cannot be started.
pub fn listen(
    listener: TcpListener,
    deliver: impl Fn(Message) -> bool + Clone + Send + 'static,
) -> io::Result<()> {
    spawn("store-from", move || {
        for socket in listener.incoming() {
            let deliver = deliver.clone();
            let serve = move || match socket {
                Ok(socket) => receive_all(socket, deliver),
                Err(_) => std::thread::sleep(ACCEPT_RETRY_DELAY),
            };
            if let Err(error) = spawn("store-peer", serve) {
                tracing::error!(%error, "store peer thread not started, connection closed");
            }
        }
    })
}

fn receive_all(mut socket: TcpStream, deliver: impl Fn(Message) -> bool) {
    while let Some(message) = receive(&mut socket) {
        if !deliver(message) {
            return;
        }
    }
}

/// Receives the next message. Returns `None` if the connection has ended or the bytes are not a valid
/// message.
fn receive(socket: &mut TcpStream) -> Option<Message> {
    let mut header = [0; LENGTH_BYTES];
    socket.read_exact(&mut header).ok()?;
    let length = u32::from_le_bytes(header) as usize;
    if length > MAX_MESSAGE_BYTES {
        return None;
    }
    // The buffer grows with the bytes received: a large length alone must not allocate memory.
    let mut body = Vec::new();
    socket.take(length as u64).read_to_end(&mut body).ok()?;
    if body.len() < length {
        return None;
    }
    Message::parse_from_bytes(&body).ok()
}
