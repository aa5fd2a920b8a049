//! The messages between nodes: a length and the message, one way on each connection. What can't be sent is
//! dropped; raft sends it again.
use crossbeam_channel::{Receiver, Sender, bounded};
use protobuf::Message as _;
use raft::eraftpb::Message;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Messages that wait for one peer.
const WAITING: usize = 256;
/// The longest message.
const MOST: usize = 16 << 20;
const STACK: usize = 128 * 1024;

/// Starts a named thread.
pub fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    std::thread::Builder::new().name(name.into()).stack_size(STACK).spawn(run).map(|_| ())
}

/// A way to a peer.
pub fn way_to(addr: SocketAddr) -> io::Result<Sender<Message>> {
    let (to, waiting) = bounded::<Message>(WAITING);
    spawn("store-to", move || send(addr, &waiting))?;
    Ok(to)
}

fn send(addr: SocketAddr, waiting: &Receiver<Message>) {
    let mut open: Option<TcpStream> = None;
    for message in waiting {
        if open.is_none() {
            open = TcpStream::connect_timeout(&addr, Duration::from_millis(200)).ok();
            // Where nobody listens, a loopback connection may meet itself and keep the port from the peer.
            if open.as_ref().is_some_and(|s| s.local_addr().ok() == s.peer_addr().ok()) {
                _ = open.take().map(|s| socket2::SockRef::from(&s).set_linger(Some(Duration::ZERO)));
            }
            _ = open
                .as_ref()
                .map(|s| (s.set_nodelay(true), s.set_write_timeout(Some(Duration::from_secs(1)))));
        }
        let (Some(s), Ok(bytes)) = (&mut open, message.write_to_bytes()) else { continue };
        let framed = [&(bytes.len() as u32).to_le_bytes()[..], &bytes].concat();
        if s.write_all(&framed).is_err() {
            open = None;
        }
    }
}

/// Hands over what peers send, until the listener fails.
pub fn listen(
    listener: TcpListener,
    take: impl Fn(Message) -> bool + Clone + Send + 'static,
) -> io::Result<()> {
    spawn("store-from", move || {
        for socket in listener.incoming() {
            let take = take.clone();
            let read = move || match socket {
                Ok(s) => receive(s, take),
                Err(_) => std::thread::sleep(Duration::from_millis(10)),
            };
            if let Err(e) = spawn("store-peer", read) {
                tracing::error!("store: no thread for a peer: {e}");
            }
        }
    })
}

fn receive(mut socket: TcpStream, take: impl Fn(Message) -> bool) {
    loop {
        let mut head = [0; 4];
        if socket.read_exact(&mut head).is_err() {
            return;
        }
        let length = u32::from_le_bytes(head) as usize;
        let mut bytes = Vec::new();
        // Room is made as bytes come: a length alone must not cost memory.
        let whole = length <= MOST && (&mut socket).take(length as u64).read_to_end(&mut bytes).is_ok();
        if !whole || bytes.len() < length {
            return;
        }
        if !Message::parse_from_bytes(&bytes).is_ok_and(&take) {
            return;
        }
    }
}
