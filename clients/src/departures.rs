//! Clients that leave. A client's end is noticed as it comes, whatever the threads of its connection are doing: one
//! that waits for an answer, or to hand on a command, reads nothing meanwhile, and bytes that are still to be read
//! hide the end behind them. So one thread watches the sockets of all clients for their end alone.
//!
//! A client that closes and one that only ends its sending can't be told apart: both have left.
use crate::Connection;
use nix::errno::Errno;
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use nix::sys::epoll::{Epoll, EpollCreateFlags, EpollEvent, EpollFlags, EpollTimeout};
use routing::RequestId;
use std::os::fd::AsFd;
use std::sync::{Mutex, MutexGuard};

/// The requests of a connection that have no answer yet, oldest first, and whether its client has left. Both under one lock: a
/// request is either seen by whoever notices the end, or never handed over.
#[derive(Debug, Default)]
pub struct Requests(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    departed: bool,
    requests: Vec<RequestId>,
}

impl Requests {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Hands a request over, unless the client has left: then nothing is done.
    pub fn begin(&self, submit: impl FnOnce() -> RequestId) -> Option<RequestId> {
        let mut state = self.state();
        if state.departed {
            return None;
        }
        let id = submit();
        state.requests.push(id);
        Some(id)
    }

    /// A request has its answer, or is given up; `false` where it was given up with its client.
    pub fn end(&self, id: RequestId) -> bool {
        let mut state = self.state();
        let at = state.requests.iter().position(|r| *r == id);
        at.map(|at| state.requests.remove(at)).is_some()
    }

    /// The request that is to be answered next.
    pub fn oldest(&self) -> Option<RequestId> {
        self.state().requests.first().copied()
    }

    /// Whether the client has left.
    pub fn departed(&self) -> bool {
        self.state().departed
    }

    /// The client has left: says so of each request, once, and lets none follow. How many there were, if that is news.
    pub fn depart(&self, left: impl FnMut(RequestId)) -> Option<usize> {
        let mut state = self.state();
        let news = !std::mem::replace(&mut state.departed, true);
        let requests = std::mem::take(&mut state.requests);
        requests.iter().copied().for_each(left);
        news.then_some(requests.len())
    }
}

impl Connection {
    /// Hands a request over, unless the client has left. The end may have come before this thread got to read what
    /// stands before it, and before any other got to say so: the socket itself is looked at.
    pub fn submit(&self, submit: impl FnOnce() -> RequestId) -> Option<RequestId> {
        let ends = PollFlags::from_bits_retain(libc::POLLRDHUP);
        let ended = poll(&mut [PollFd::new(self.socket.as_fd(), ends)], PollTimeout::ZERO);
        if ended.is_ok_and(|n| n > 0) { None } else { self.requests.begin(submit) }
    }

    /// Its client has left, or takes no more: what it waits for is given up, and nothing more is taken of it.
    pub fn depart(&self, left: impl FnMut(RequestId)) {
        if let Some(requests) = self.requests.depart(left) {
            tracing::debug!("clients: {} has left {requests} requests", self.number);
        }
    }
}

/// Watches sockets for their end; where the system gives no means to, each front's own looks have to do.
#[derive(Debug)]
pub struct Departures(Option<Epoll>);

/// Ends taken up at a time.
const AT_A_TIME: usize = 64;

impl Departures {
    /// Nothing is watched yet.
    pub fn new() -> Departures {
        let epoll = Epoll::new(EpollCreateFlags::EPOLL_CLOEXEC);
        if let Err(e) = &epoll {
            tracing::warn!("clients: no notice of those that leave ({e}): they are looked at now and then");
        }
        Departures(epoll.ok())
    }

    /// Watches a connection from now on; an end that has come already counts. It goes with the socket.
    pub fn watch(&self, connection: &Connection) {
        let Some(epoll) = &self.0 else { return };
        // Not for what comes to be read: bytes must wake nobody here. Once, for an end lasts.
        let ends = EpollFlags::EPOLLRDHUP | EpollFlags::EPOLLONESHOT;
        if let Err(e) = epoll.add(&connection.socket, EpollEvent::new(ends, connection.number)) {
            tracing::warn!("clients: no notice when this one leaves ({e}): it is looked at now and then");
        }
    }

    /// Names each connection whose client has left or was cut off; returns only where that can't go on.
    pub fn run(&self, mut left: impl FnMut(u64)) {
        let Some(epoll) = &self.0 else { return };
        let mut events = [EpollEvent::empty(); AT_A_TIME];
        loop {
            match epoll.wait(&mut events, EpollTimeout::NONE) {
                Ok(n) => events.iter().take(n).for_each(|e| left(e.data())),
                Err(Errno::EINTR) => {}
                Err(e) => return tracing::error!("clients: no notice of those that leave any more: {e}"),
            }
        }
    }
}

impl Default for Departures {
    fn default() -> Self {
        Departures::new()
    }
}
