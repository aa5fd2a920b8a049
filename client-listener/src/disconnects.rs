//! Notices clients that disconnect, whatever the threads of their connections are doing. A thread that waits for a
//! response, or to hand on a command, reads nothing meanwhile, and unread bytes hide the end of stream behind them. So
//! one thread watches the sockets of all clients for their end of stream alone.
//!
//! A client that closes its connection and one that only shuts down its sending side can't be told apart: both count
//! as disconnected.
use crate::Connection;
use nix::errno::Errno;
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use nix::sys::epoll::{Epoll, EpollCreateFlags, EpollEvent, EpollFlags, EpollTimeout};
use routing::RequestId;
use routing::reasons::CloseReason;
use std::os::fd::AsFd;

/// Disconnects that are collected from the system at a time.
const EVENTS_PER_WAIT: usize = 64;

impl Connection {
    /// Submits a request, unless the client has disconnected; returns its id. The end of stream may have arrived
    /// before this thread read what precedes it, and before the watcher reported it, so the socket itself is polled.
    pub fn submit(&self, submit: impl FnOnce() -> RequestId) -> Option<RequestId> {
        let end_of_stream = PollFlags::from_bits_retain(libc::POLLRDHUP);
        let ended = poll(&mut [PollFd::new(self.socket.as_fd(), end_of_stream)], PollTimeout::ZERO);
        if ended.is_ok_and(|n| n > 0) { None } else { self.in_flight_requests.begin(submit) }
    }

    /// The client has disconnected, or takes no more responses: calls `cancel` for each request in flight, and no
    /// request is submitted from here on.
    pub fn mark_disconnected(&self, cancel: impl FnMut(RequestId)) {
        if let Some(requests) = self.in_flight_requests.disconnect(cancel) {
            self.set_close_reason(CloseReason::ClientDisconnected);
            tracing::debug!(requests, connection = self.id, "client disconnected");
        }
    }
}

/// Watches sockets for their end of stream. Where the system refuses that, connection handlers poll
/// [`Connection::socket_state`] in their own time.
#[derive(Debug)]
pub(crate) struct DisconnectWatcher {
    epoll: Option<Epoll>,
}

impl DisconnectWatcher {
    /// Watches no connection yet.
    pub(crate) fn new() -> DisconnectWatcher {
        let epoll = Epoll::new(EpollCreateFlags::EPOLL_CLOEXEC);
        if let Err(error) = &epoll {
            tracing::warn!(%error, "client disconnect watcher not created, sockets are polled instead");
        }
        DisconnectWatcher { epoll: epoll.ok() }
    }

    /// Watches a connection until its socket is closed. An end of stream that has arrived already is reported too.
    pub(crate) fn watch(&self, connection: &Connection) {
        let Some(epoll) = &self.epoll else { return };
        // Bytes to read must wake nobody here; one report is enough, for an end of stream lasts.
        let end_of_stream = EpollFlags::EPOLLRDHUP | EpollFlags::EPOLLONESHOT;
        if let Err(error) = epoll.add(&connection.socket, EpollEvent::new(end_of_stream, connection.id)) {
            let connection = connection.id;
            tracing::warn!(connection, %error, "client disconnect not watched, the socket is polled instead");
        }
    }

    /// Calls `disconnected` with the id of each connection whose client disconnects. Returns only if watching fails.
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
