//! Detects that clients have disconnected, whatever the threads of their connections are doing. A thread that
//! waits for a response, or for capacity in a queue, does not read from its socket, and unread bytes hide the
//! end of stream that follows them. So one thread watches the sockets of all clients for their end of stream
//! only.
//!
//! A client that closes its connection cannot be told apart from one that only shuts down its sending side:
//! both count as disconnected.
use crate::Connection;
use nix::errno::Errno;
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use nix::sys::epoll::{Epoll, EpollCreateFlags, EpollEvent, EpollFlags, EpollTimeout};
use routing::RequestId;
use routing::reasons::CloseReason;
use std::os::fd::AsFd;

/// Maximum number of client disconnects that one `epoll_wait` call returns.
const EVENTS_PER_WAIT: usize = 64;

impl Connection {
    /// Submits a request and returns its id; returns `None`, without submitting, if the client has
    /// disconnected. The socket itself is polled, because the end of stream may have arrived before this
    /// thread read the bytes that precede it and before the watcher reported it.
    pub fn submit(&self, submit: impl FnOnce() -> RequestId) -> Option<RequestId> {
        let end_of_stream = PollFlags::from_bits_retain(libc::POLLRDHUP);
        let ended = poll(&mut [PollFd::new(self.socket.as_fd(), end_of_stream)], PollTimeout::ZERO);
        if ended.is_ok_and(|n| n > 0) { None } else { self.in_flight_requests.begin(submit) }
    }

    /// Records that the client has disconnected or no longer reads its responses: calls `cancel` for each
    /// request in flight, and no request is submitted from here on.
    pub fn mark_disconnected(&self, cancel: impl FnMut(RequestId)) {
        if let Some(requests) = self.in_flight_requests.disconnect(cancel) {
            self.set_close_reason(CloseReason::ClientDisconnected);
            tracing::debug!(requests, connection = self.id, "client disconnected");
        }
    }
}

/// Watches sockets for their end of stream. If the system does not permit that, connection handlers poll
/// [`Connection::socket_state`] instead.
#[derive(Debug)]
pub(crate) struct DisconnectWatcher {
    epoll: Option<Epoll>,
}

impl DisconnectWatcher {
    /// Creates a watcher without connections.
    pub(crate) fn new() -> DisconnectWatcher {
        let epoll = Epoll::new(EpollCreateFlags::EPOLL_CLOEXEC);
        if let Err(error) = &epoll {
            tracing::warn!(%error, "client disconnect watcher not created, polling sockets instead");
        }
        DisconnectWatcher { epoll: epoll.ok() }
    }

    /// Watches a connection until its socket is closed. An end of stream that arrived before this call is
    /// reported too.
    pub(crate) fn watch(&self, connection: &Connection) {
        let Some(epoll) = &self.epoll else { return };
        // Readable bytes must not wake the watcher. One report per connection is enough, because an end of
        // stream is permanent.
        let end_of_stream = EpollFlags::EPOLLRDHUP | EpollFlags::EPOLLONESHOT;
        if let Err(error) = epoll.add(&connection.socket, EpollEvent::new(end_of_stream, connection.id)) {
            let connection = connection.id;
            tracing::warn!(connection, %error, "client disconnect not watched, polling the socket instead");
        }
    }

    /// Calls `disconnected` with the id of each connection whose client disconnects. Returns only if epoll is
    /// unavailable or fails.
    pub(crate) fn run(&self, mut disconnected: impl FnMut(u64)) {
        let Some(epoll) = &self.epoll else { return };
        let mut events = [EpollEvent::empty(); EVENTS_PER_WAIT];
        loop {
            match epoll.wait(&mut events, EpollTimeout::NONE) {
                Ok(n) => events.iter().take(n).for_each(|e| disconnected(e.data())),
                Err(Errno::EINTR) => {}
                Err(error) => return tracing::error!(%error, "client disconnect watcher failed"),
            }
        }
    }
}
