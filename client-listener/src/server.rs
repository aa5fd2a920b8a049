//! The server for client connections: its public interface, and the limit on open connections.
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

/// Serves clients in one wire protocol.
pub trait ConnectionHandler: Send + Sync + 'static {
    /// Serves one client, on the calling thread, until either side closes the connection.
    fn handle(self: &Arc<Self>, connection: &Arc<Connection>);

    /// Sends the client, without blocking, a rejection that tells it to retry later.
    fn reject(&self, connection: &Connection);

    /// Called when the client of a request has disconnected, so that the response is no longer needed.
    fn client_disconnected(&self, request: RequestId);

    /// Called when the shutdown of the process begins: from now on, each request needs its final response
    /// within the shutdown timeouts of [`Limits`].
    fn shutdown_started(&self);
}

/// A command to a running server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerCommand {
    /// Shut down, because SIGTERM was received.
    Shutdown,
    /// Operators start a drain (`true`) or end it; sent after [`ClientServer::set_draining`].
    SetDraining(bool),
    /// The number of processes that serve as this router has changed.
    SetProcessCount {
        /// Number of processes that serve as this router, this one included.
        processes: usize,
        /// Whether another process accepts clients.
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
    /// Metrics that count why connections close; `None` if metrics are disabled.
    metrics: Option<Arc<Metrics>>,
}

impl<H: ConnectionHandler> ClientServer<H> {
    /// Creates a server without connections; [`ClientServer::serve`] accepts them. `metrics` counts why they
    /// close.
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

    /// Returns the flag that is set while connections are accepted, for other threads to read.
    pub fn accepting(&self) -> Arc<AtomicBool> {
        self.accepting.clone()
    }

    /// Sets whether operators are draining the router, so that health checks fail from now on or pass again.
    /// The [`ServerCommand::SetDraining`] that follows makes the server close connections.
    pub fn set_draining(&self, draining: bool) {
        self.shared.set_draining(draining);
    }

    /// Sets how many processes serve as this router: each gets an equal part of the connection limit. A count
    /// that is set before [`ClientServer::serve`] applies from the first connection on.
    pub fn set_process_count(&self, processes: usize) {
        let max_connections = self.limits.max_client_connections / processes.max(1);
        self.max_connections.store(max_connections, Ordering::Relaxed);
    }

    fn connections(&self) -> MutexGuard<'_, HashMap<u64, Arc<Connection>>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Handles the disconnect of a client by cancelling its requests.
    fn handle_disconnect(&self, connection_id: u64) {
        let connection = self.connections().get(&connection_id).cloned();
        if let Some(connection) = connection {
            connection.mark_disconnected(|request| self.handler.client_disconnected(request));
        }
    }
}
