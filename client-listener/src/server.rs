//! The server for client connections: its face to the rest of the program, and the limit on open connections.
mod accept;
mod command_loop;

use crate::connection::Connection;
use crate::disconnects::DisconnectWatcher;
use crate::shared_state::SharedState;
use routing::{Metrics, RequestId};
use settings::Limits;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Speaks a wire protocol with clients.
pub trait ConnectionHandler: Send + Sync + 'static {
    /// Serves one client, on the thread that this is called on, until either side closes the connection.
    fn handle(self: &Arc<Self>, connection: &Arc<Connection>);

    /// Tells a client that it can't be served now and may come again, without waiting for it.
    fn reject(&self, connection: &Connection);

    /// The client of a request has disconnected: nobody waits for the response.
    fn client_disconnected(&self, request: RequestId);
}

/// A command to a server while it serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerCommand {
    /// Shut down: SIGTERM has come.
    Shutdown,
    /// Operators start a drain (`true`) or end it; follows [`ClientServer::set_draining`].
    SetDraining(bool),
    /// The processes that serve as this router have changed.
    SetProcessCount {
        /// How many there are, this one included.
        processes: usize,
        /// Whether another one accepts clients.
        successor: bool,
    },
}

/// All client connections of one connection handler.
pub struct ClientServer<H> {
    handler: Arc<H>,
    limits: Arc<Limits>,
    connections: Mutex<HashMap<u64, Arc<Connection>>>,
    next_connection_id: AtomicUsize,
    max_connections: AtomicUsize,
    shared: Arc<SharedState>,
    accepting: Arc<AtomicBool>,
    disconnect_watcher: DisconnectWatcher,
    /// Counts why connections close, if operators want to know.
    metrics: Option<Arc<Metrics>>,
}

impl<H: ConnectionHandler> ClientServer<H> {
    /// A server without connections; [`ClientServer::serve`] accepts them. `metrics` count why they close.
    pub fn new(handler: Arc<H>, limits: Arc<Limits>, metrics: Option<Arc<Metrics>>) -> Arc<Self> {
        let max_connections = AtomicUsize::new(limits.max_client_connections);
        Arc::new(ClientServer {
            handler,
            limits,
            connections: Mutex::default(),
            next_connection_id: AtomicUsize::new(0),
            max_connections,
            shared: Arc::default(),
            accepting: Arc::default(),
            disconnect_watcher: DisconnectWatcher::new(),
            metrics,
        })
    }

    /// Whether connections are accepted, as a flag for other threads to read.
    pub fn accepting(&self) -> Arc<AtomicBool> {
        self.accepting.clone()
    }

    /// Operators start a drain (`true`) or end it: health checks fail from now on. [`ServerCommand::SetDraining`]
    /// follows, which closes connections.
    pub fn set_draining(&self, draining: bool) {
        self.shared.set_draining(draining);
    }

    /// Sets how many processes serve as this router: each gets an equal part of the connection limit. A count that is
    /// known before [`ClientServer::serve`] applies from the first connection on.
    pub fn set_process_count(&self, processes: usize) {
        let max_connections = self.limits.max_client_connections / processes.max(1);
        self.max_connections.store(max_connections, Ordering::Relaxed);
    }

    fn connections(&self) -> MutexGuard<'_, HashMap<u64, Arc<Connection>>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Handles the disconnect of a client: its requests are cancelled.
    fn handle_disconnect(&self, connection_id: u64) {
        let connection = self.connections().get(&connection_id).cloned();
        if let Some(connection) = connection {
            connection.mark_disconnected(|request| self.handler.client_disconnected(request));
        }
    }
}
