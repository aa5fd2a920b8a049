//! The accept loop: waits for capacity below the connection limit, evicts idle connections, and starts a
//! thread for each connection.
use super::{ClientServer, ConnectionHandler};
use crate::connection::Connection;
use crate::listener::ClientListener;
use routing::reasons::CloseReason;
use routing::spawn_with_retry;
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Minimum interval between two log lines about failed accepts.
const ACCEPT_ERROR_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of connections that are evicted at once. Finding several idle connections costs as much as
/// finding one.
const EVICTION_BATCH: usize = 8;

/// How long a connection waits for a thread before it is rejected. The first request may have been sent
/// already, and that request's deadline approaches.
const THREAD_START_TIMEOUT: Duration = Duration::from_millis(250);

/// Interval between attempts to start threads for waiting connections.
const THREAD_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// A connection that waits for a thread.
struct PendingConnection {
    connection: Arc<Connection>,
    address: SocketAddr,
    /// The function that the connection's thread runs.
    serve: Box<dyn FnOnce() + Send>,
    waiting_since: Instant,
}

impl<H: ConnectionHandler> ClientServer<H> {
    /// Accepts connections until the server stops accepting.
    pub(super) fn accept_loop(self: &Arc<Self>, listener: &ClientListener) {
        let mut last_logged: Option<Instant> = None;
        let mut pending_connections = Vec::new();
        while self.accepting.load(Ordering::Acquire) {
            // While connections wait for a thread, attempts to start one alternate with accepts.
            if !pending_connections.is_empty() && !listener.wait_until_ready(THREAD_RETRY_INTERVAL) {
                self.start_pending(&mut pending_connections);
                continue;
            }
            match listener.accept() {
                Ok(Some((socket, address))) => {
                    let accepted_at = Instant::now();
                    self.wait_for_capacity();
                    pending_connections.extend(self.start_connection(socket, address, accepted_at));
                }
                Ok(None) => {}
                Err(e) => self.handle_accept_error(&e, &mut last_logged),
            }
            self.start_pending(&mut pending_connections);
        }
        self.start_all(pending_connections);
    }

    /// Handles a failed accept: the process is out of descriptors, or a client disconnected before it was
    /// accepted.
    fn handle_accept_error(&self, error: &io::Error, last_logged: &mut Option<Instant>) {
        let log_due = last_logged.is_none_or(|at| at.elapsed() >= ACCEPT_ERROR_LOG_INTERVAL);
        if error.kind() != io::ErrorKind::WouldBlock && log_due {
            *last_logged = Some(Instant::now());
            tracing::warn!(%error, "client connection not accepted");
        }
        if matches!(error.raw_os_error(), Some(libc::EMFILE | libc::ENFILE)) {
            evict_idle(&self.connections());
        }
        std::thread::sleep(ACCEPT_RETRY_DELAY);
    }

    /// Returns once there is capacity for one more connection, evicting idle connections at the limit. While
    /// none may be evicted, the accepted connection waits and further ones stay in the listen backlog.
    fn wait_for_capacity(&self) {
        // Once the server has stopped accepting, a connection that was accepted before is served regardless
        // of the limit.
        while self.accepting.load(Ordering::Acquire) {
            if self.check_capacity_or_evict() {
                return;
            }
            std::thread::sleep(self.limits.client_capacity_retry_delay);
        }
    }

    /// Returns whether there is capacity for one more connection; evicts idle connections if not.
    fn check_capacity_or_evict(&self) -> bool {
        let connections = self.connections();
        if connections.len() < self.max_connections.load(Ordering::Relaxed) {
            return true;
        }
        evict_idle(&connections);
        false
    }

    /// Serves accepted connections, each on a thread of its own.
    pub(super) fn start_connections(
        self: &Arc<Self>,
        accepted: impl Iterator<Item = (TcpStream, SocketAddr)>,
    ) {
        let accepted_at = Instant::now();
        let start = |(socket, address)| self.start_connection(socket, address, accepted_at);
        let pending_connections = accepted.filter_map(start).collect();
        self.start_all(pending_connections);
    }

    /// Serves an accepted connection on a thread of its own; returns the connection if no thread can be
    /// started now.
    fn start_connection(
        self: &Arc<Self>,
        socket: TcpStream,
        address: SocketAddr,
        accepted_at: Instant,
    ) -> Option<PendingConnection> {
        if let Err(error) = self.configure(&socket) {
            // The connection was reset before it could be served.
            tracing::warn!(%address, %error, "client connection lost before it was served");
            return None;
        }
        let id = self.next_connection_id.fetch_add(1, Ordering::Relaxed) as u64;
        let connection = Connection::new(socket, id, accepted_at, self.limits.clone(), self.shared.clone());
        let connection = Arc::new(connection);
        self.connections().insert(id, connection.clone());
        self.disconnect_watcher.watch(&connection);
        let (server, served) = (self.clone(), connection.clone());
        let serve = Box::new(move || server.serve_client(&served));
        self.try_start(PendingConnection { connection, address, serve, waiting_since: Instant::now() })
    }

    /// Starts a connection's thread; returns the connection if no thread can be started now.
    fn try_start(&self, pending: PendingConnection) -> Option<PendingConnection> {
        let PendingConnection { connection, address, serve, waiting_since } = pending;
        let started =
            spawn_with_retry("client", self.limits.socket_thread_stack_bytes, Duration::ZERO, serve);
        let Err(failed) = started else { return None };
        if waiting_since.elapsed() < THREAD_START_TIMEOUT {
            return Some(PendingConnection { connection, address, serve: failed.run, waiting_since });
        }
        tracing::error!(%address, error = %failed.source, "client thread not started, connection rejected");
        self.reject(&connection);
        None
    }

    /// Rejects a client with a response that tells it to retry. If the connection were just closed, a request
    /// that the client has sent already would be lost.
    fn reject(&self, connection: &Connection) {
        connection.set_close_reason(CloseReason::NoThread);
        self.connections().remove(&connection.id);
        self.handler.reject(connection);
        connection.close_after_rejection();
        self.record_closed(connection);
    }

    /// Tries once to start the threads of the waiting connections.
    fn start_pending(&self, pending_connections: &mut Vec<PendingConnection>) {
        let taken = std::mem::take(pending_connections);
        pending_connections.extend(taken.into_iter().filter_map(|connection| self.try_start(connection)));
    }

    /// Starts the threads of the waiting connections, and returns once none is left.
    fn start_all(&self, mut pending_connections: Vec<PendingConnection>) {
        while !pending_connections.is_empty() {
            self.start_pending(&mut pending_connections);
            std::thread::sleep(THREAD_RETRY_INTERVAL);
        }
    }

    fn configure(&self, socket: &TcpStream) -> io::Result<()> {
        socket.set_nonblocking(false)?;
        socket.set_nodelay(true)?;
        socket.set_write_timeout(Some(self.limits.client_write_timeout))
    }

    /// Body of the connection's thread: serves the client until the connection is closed.
    fn serve_client(&self, connection: &Arc<Connection>) {
        connection.record_thread_started();
        self.handler.handle(connection);
        connection.linger();
        connection.shut_down_both();
        if connection.has_made_request() {
            self.shared.remove_connection_with_requests();
        }
        self.connections().remove(&connection.id);
        self.record_closed(connection);
    }

    /// Logs and counts why a connection has closed.
    fn record_closed(&self, connection: &Connection) {
        let reason = connection.close_reason().name();
        tracing::debug!(connection = connection.id, reason, "client connection closed");
        if let Some(metrics) = &self.metrics {
            metrics.reasons.closed.with_label_values(&[reason]).inc();
        }
    }
}

/// Closes some idle connections: first those that are closing already or sent a malformed command, then those
/// that have made no request, then those that have been idle for longest.
fn evict_idle(connections: &HashMap<u64, Arc<Connection>>) {
    let now = Instant::now();
    let mut candidates: Vec<_> = connections
        .values()
        .filter_map(|connection| Some((connection.eviction_rank()?, connection)))
        .filter(|(rank, _)| rank.is_due(now))
        .collect();
    candidates.sort_unstable_by_key(|(rank, _)| *rank);
    // `evict` also checks the socket: under load, bytes may have arrived that the reader has not read yet.
    let evicted = candidates.into_iter().filter(|(_, connection)| connection.evict());
    _ = evicted.take(EVICTION_BATCH).count();
}
