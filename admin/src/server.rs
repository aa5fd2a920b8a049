//! Binds the admin address and starts the server's thread.
use crate::event_loop::{EventLoop, LISTENER};
use crate::handler::AdminHandler;
use crate::limits::AdminLimits;
use mio::net::TcpListener;
use mio::{Interest, Poll};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use thiserror::Error;

const THREAD_NAME: &str = "admin";

/// Why the server cannot listen on the admin address.
#[derive(Debug, Error)]
pub enum AdminServerError {
    /// The address cannot be bound.
    #[error(
        "cannot listen on admin address {address}: {source}; set `admin_addr` to a free address of this host"
    )]
    Bind {
        /// The requested address, from `admin_addr`.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The operating system cannot create the poll instance or register the listener with it.
    #[error("cannot poll admin address {address}: {source}; raise the limit of open files, then start again")]
    Poll {
        /// The address that the admin server listens on.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The server's thread cannot be started.
    #[error(
        "cannot start the thread of admin address {address}: {source}; raise the limit of threads or memory, \
         then start again"
    )]
    SpawnThread {
        /// The address that the admin server listens on.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
}

/// A server bound to its address. Clients that connect before [`AdminServer::serve`] wait in the listener's
/// queue.
pub struct AdminServer {
    address: SocketAddr,
    listener: TcpListener,
    poll: Poll,
    limits: AdminLimits,
}

impl AdminServer {
    /// Binds `address`; with port 0 the operating system chooses one, see [`AdminServer::address`].
    ///
    /// # Errors
    /// [`AdminServerError::Bind`] if the address is in use or not one of this host,
    /// [`AdminServerError::Poll`] if the process has no descriptors left.
    pub fn bind(address: SocketAddr, limits: AdminLimits) -> Result<AdminServer, AdminServerError> {
        let bind_error = |source| AdminServerError::Bind { address, source };
        let mut listener = TcpListener::bind(address).map_err(bind_error)?;
        let address = listener.local_addr().map_err(bind_error)?;
        let poll = register(&mut listener).map_err(|source| AdminServerError::Poll { address, source })?;
        Ok(AdminServer { address, listener, poll, limits })
    }

    /// The address that the admin server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts to serve on a new thread, for as long as the process lives.
    ///
    /// # Errors
    /// [`AdminServerError::SpawnThread`].
    pub fn serve(self, handler: Arc<dyn AdminHandler>) -> Result<(), AdminServerError> {
        let AdminServer { address, listener, poll, limits } = self;
        let stack_bytes = limits.thread_stack_bytes;
        let event_loop = EventLoop::new(listener, poll, limits, handler);
        routing::spawn_needed(THREAD_NAME, stack_bytes, move || event_loop.run())
            .map_err(|source| AdminServerError::SpawnThread { address, source })
    }
}

fn register(listener: &mut TcpListener) -> io::Result<Poll> {
    let poll = Poll::new()?;
    poll.registry().register(listener, LISTENER, Interest::READABLE)?;
    Ok(poll)
}
