//! Listeners and connections that one thread polls, each with its own token.
use mio::event::Source;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Polls sockets and assigns their tokens in ascending order.
pub(super) struct Poller {
    poll: Poll,
    next_token: usize,
}

impl Poller {
    pub(super) fn new() -> io::Result<Poller> {
        Ok(Poller { poll: Poll::new()?, next_token: 0 })
    }

    /// Waits for events until the timeout.
    pub(super) fn wait(&mut self, events: &mut Events, timeout: Duration) -> io::Result<()> {
        self.poll.poll(events, Some(timeout))
    }

    /// Starts to poll a connection and returns its token.
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

/// Polls loopback listeners and the connections that they accept. Each listener has a key that identifies its
/// purpose; the listeners have the lowest tokens.
pub(super) struct Acceptor<K> {
    poller: Poller,
    listeners: Vec<Listener<K>>,
}

impl<K: Copy> Acceptor<K> {
    pub(super) fn new() -> io::Result<Acceptor<K>> {
        Ok(Acceptor { poller: Poller::new()?, listeners: Vec::new() })
    }

    /// Listens on a free loopback port and returns the address. All listeners must be bound before the first
    /// connection is added.
    pub(super) fn bind(&mut self, key: K) -> io::Result<SocketAddr> {
        let mut socket = TcpListener::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let address = socket.local_addr()?;
        self.poller.add(&mut socket, Interest::READABLE)?;
        self.listeners.push(Listener { key, socket });
        Ok(address)
    }

    /// Waits for events until the timeout.
    pub(super) fn wait(&mut self, events: &mut Events, timeout: Duration) -> io::Result<()> {
        self.poller.wait(events, timeout)
    }

    /// Whether a token belongs to a listener.
    pub(super) fn is_listener(&self, token: usize) -> bool {
        token < self.listeners.len()
    }

    /// Accepts the next connection of a listener and returns it with the listener's key.
    pub(super) fn accept(&self, listener: usize) -> Option<(K, TcpStream)> {
        let listener = &self.listeners[listener];
        let (stream, _) = listener.socket.accept().ok()?;
        Some((listener.key, stream))
    }

    /// Starts to poll a connection and returns its token.
    pub(super) fn add_stream(&mut self, stream: &mut TcpStream) -> io::Result<usize> {
        self.poller.add_stream(stream)
    }
}
