//! The accept loop: waits for room below the connection limit, evicts idle connections, and starts a thread for each
//! connection.
use super::{ClientServer, ConnectionHandler};
use crate::connection::Connection;
use crate::listener::ClientListener;
use routing::reasons::CloseReason;
use routing::spawn;
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Failed accepts are logged at most this often.
const ACCEPT_ERROR_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Connections that are evicted at a time. Finding one costs as much as finding several.
const EVICTION_BATCH: usize = 8;

impl<H: ConnectionHandler> ClientServer<H> {
    /// Accepts connections until the server stops accepting.
    pub(super) fn accept_loop(self: &Arc<Self>, listener: &ClientListener) {
        let mut last_logged: Option<Instant> = None;
        while self.accepting.load(Ordering::Acquire) {
            match listener.accept() {
                Ok(Some((socket, address))) => {
                    self.wait_for_room();
                    self.start_connection(socket, address);
                }
                Ok(None) => {}
                Err(e) => self.handle_accept_error(&e, &mut last_logged),
            }
        }
    }

    /// The process is out of descriptors, or a client disconnected before it was accepted.
    fn handle_accept_error(&self, error: &io::Error, last_logged: &mut Option<Instant>) {
        let log_due = last_logged.is_none_or(|at| at.elapsed() >= ACCEPT_ERROR_LOG_INTERVAL);
        if error.kind() != io::ErrorKind::WouldBlock && log_due {
            *last_logged = Some(Instant::now());
            tracing::warn!("clients: cannot accept: {error}");
        }
        if matches!(error.raw_os_error(), Some(libc::EMFILE | libc::ENFILE)) {
            evict_idle(&self.connections());
        }
        std::thread::sleep(ACCEPT_RETRY_DELAY);
    }

    /// Returns once there is room for one more connection, evicting idle ones at the limit. Where none may be
    /// evicted, the accepted connection waits, and others wait unaccepted.
    fn wait_for_room(&self) {
        // Once no more are accepted, a connection that has been accepted is served, whatever the limit.
        while self.accepting.load(Ordering::Acquire) {
            if self.has_room_or_evicts() {
                return;
            }
            std::thread::sleep(self.limits.client_room);
        }
    }

    /// Whether there is room for one more connection; evicts idle ones if not.
    fn has_room_or_evicts(&self) -> bool {
        let connections = self.connections();
        if connections.len() < self.max_connections.load(Ordering::Relaxed) {
            return true;
        }
        evict_idle(&connections);
        false
    }

    /// Serves a connection that has been accepted, on a thread of its own.
    pub(super) fn start_connection(self: &Arc<Self>, socket: TcpStream, address: SocketAddr) {
        if let Err(e) = self.configure(&socket) {
            return tracing::warn!("clients: {address}: {e}");
        }
        let id = self.next_connection_id.fetch_add(1, Ordering::Relaxed) as u64;
        let connection = Arc::new(Connection::new(socket, id, self.limits.clone(), self.shared.clone()));
        self.connections().insert(id, connection.clone());
        self.disconnect_watcher.watch(&connection);
        let server = self.clone();
        let serve_client = move || server.serve_client(&connection);
        if let Err(e) = spawn("client", self.limits.stack_bytes, serve_client) {
            tracing::error!("clients: no thread for {address}: {e}");
            if let Some(connection) = self.connections().remove(&id) {
                connection.set_close_reason(CloseReason::NoThread);
                self.note_closed(&connection);
            }
        }
    }

    fn configure(&self, socket: &TcpStream) -> io::Result<()> {
        socket.set_nonblocking(false)?;
        socket.set_nodelay(true)?;
        socket.set_write_timeout(Some(self.limits.client_write))
    }

    /// Runs on the connection's thread from its start to its end.
    fn serve_client(&self, connection: &Arc<Connection>) {
        self.handler.handle(connection);
        connection.linger();
        connection.shut_down_both();
        if connection.has_made_request() {
            self.shared.remove_connection_with_requests();
        }
        self.connections().remove(&connection.id);
        self.note_closed(connection);
    }

    /// Logs and counts why a connection has closed.
    fn note_closed(&self, connection: &Connection) {
        let reason = connection.close_reason().name();
        tracing::debug!(connection = connection.id, reason, "client connection closed");
        if let Some(metrics) = &self.metrics {
            metrics.reasons.closed.with_label_values(&[reason]).inc();
        }
    }
}

/// Closes some idle connections: first those that are closing already or sent a malformed command, then those
/// that made no request yet, then those that have been idle for longest.
fn evict_idle(connections: &HashMap<u64, Arc<Connection>>) {
    let now = Instant::now();
    let mut candidates: Vec<_> = connections
        .values()
        .filter_map(|connection| Some((connection.eviction_rank()?, connection)))
        .filter(|(rank, _)| rank.is_due(now))
        .collect();
    candidates.sort_unstable_by_key(|(rank, _)| *rank);
    // Eviction looks at the socket: under load, a reader may lag behind what has arrived.
    let evicted = candidates.into_iter().filter(|(_, connection)| connection.evict());
    _ = evicted.take(EVICTION_BATCH).count();
}
