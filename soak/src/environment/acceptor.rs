//! Listeners and connections that one thread polls, each by a token of its own.
use mio::event::Source;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Polls sockets, and deals out their tokens in ascending order.
pub(super) struct Poller {
    poll: Poll,
    next_token: usize,
}

impl Poller {
    pub(super) fn new() -> io::Result<Poller> {
        Ok(Poller { poll: Poll::new()?, next_token: 0 })
    }

    /// Waits for events, at most for this time.
    pub(super) fn wait(&mut self, events: &mut Events, timeout: Duration) -> io::Result<()> {
        self.poll.poll(events, Some(timeout))
    }

    /// Polls a connection from now on; its token.
    pub(super) fn add_stream(&mut self, stream: &mut TcpStream) -> io::Result<usize> {
        self.add(stream, Interest::READABLE | Interest::WRITABLE)
    }

    fn add(&mut self, source: &mut impl Source, interest: Interest) -> io::Result<usize> {
        let token = self.next_token;
        self.next_token += 1;
        self.poll.registry().register(source, Token(token), interest)?;
        Ok(token)
    }
}

struct Listener<K> {
    key: K,
    socket: TcpListener,
}

/// Loopback listeners, each with a key that says what it stands for, and the connections that they accept. The listeners
/// have the first tokens.
pub(super) struct Acceptor<K> {
    poller: Poller,
    listeners: Vec<Listener<K>>,
}

impl<K: Copy> Acceptor<K> {
    pub(super) fn new() -> io::Result<Acceptor<K>> {
        Ok(Acceptor { poller: Poller::new()?, listeners: Vec::new() })
    }

    /// Listens on a free port of the loopback address; the address. Every listener is bound before a connection is added.
    pub(super) fn bind(&mut self, key: K) -> io::Result<SocketAddr> {
        let mut socket = TcpListener::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let address = socket.local_addr()?;
        self.poller.add(&mut socket, Interest::READABLE)?;
        self.listeners.push(Listener { key, socket });
        Ok(address)
    }

    /// Waits for events, at most for this time.
    pub(super) fn wait(&mut self, events: &mut Events, timeout: Duration) -> io::Result<()> {
        self.poller.wait(events, timeout)
    }

    /// Whether a token is a listener's.
    pub(super) fn is_listener(&self, token: usize) -> bool {
        token < self.listeners.len()
    }

    /// The next connection that waits at a listener, with the listener's key.
    pub(super) fn accept(&self, listener: usize) -> Option<(K, TcpStream)> {
        let listener = &self.listeners[listener];
        let (stream, _) = listener.socket.accept().ok()?;
        Some((listener.key, stream))
    }

    /// Polls a connection from now on; its token.
    pub(super) fn add_stream(&mut self, stream: &mut TcpStream) -> io::Result<usize> {
        self.poller.add_stream(stream)
    }
}
