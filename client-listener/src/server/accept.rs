//! The accept loop: waits for room below the connection limit, evicts idle connections, and starts a thread for each
//! connection.
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

/// Failed accepts are logged at most this often.
const ACCEPT_ERROR_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Connections that are evicted at a time. Finding one costs as much as finding several.
const EVICTION_BATCH: usize = 8;

/// How long a connection waits for a thread. Its first request may have been sent already, and its time runs.
const THREAD_START_TIMEOUT: Duration = Duration::from_millis(250);

/// How often threads are tried for while connections wait for one.
const THREAD_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// A connection that waits for a thread.
struct WithoutThread {
    connection: Arc<Connection>,
    address: SocketAddr,
    /// What its thread is to run.
    serve: Box<dyn FnOnce() + Send>,
    since: Instant,
}

impl<H: ConnectionHandler> ClientServer<H> {
    /// Accepts connections until the server stops accepting.
    pub(super) fn accept_loop(self: &Arc<Self>, listener: &ClientListener) {
        let mut last_logged: Option<Instant> = None;
        let mut without_thread = Vec::new();
        while self.accepting.load(Ordering::Acquire) {
            // Connections that wait for a thread are looked after in between.
            if !without_thread.is_empty() && !listener.wait_until_ready(THREAD_RETRY_INTERVAL) {
                self.start_waiting(&mut without_thread);
                continue;
            }
            match listener.accept() {
                Ok(Some((socket, address))) => {
                    let accepted_at = Instant::now();
                    self.wait_for_room();
                    without_thread.extend(self.start_connection(socket, address, accepted_at));
                }
                Ok(None) => {}
                Err(e) => self.handle_accept_error(&e, &mut last_logged),
            }
            self.start_waiting(&mut without_thread);
        }
        self.start_all(without_thread);
    }

    /// The process is out of descriptors, or a client disconnected before it was accepted.
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

    /// Returns once there is room for one more connection, evicting idle ones at the limit. Where none may be
    /// evicted, the accepted connection waits, and others wait unaccepted.
    fn wait_for_room(&self) {
        // Once no more are accepted, a connection that has been accepted is served, whatever the limit.
        while self.accepting.load(Ordering::Acquire) {
            if self.has_room_or_evicts() {
                return;
            }
            std::thread::sleep(self.limits.client_capacity_retry_delay);
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

    /// Serves connections that have been accepted, each on a thread of its own.
    pub(super) fn start_connections(
        self: &Arc<Self>,
        accepted: impl Iterator<Item = (TcpStream, SocketAddr)>,
    ) {
        let accepted_at = Instant::now();
        let start = |(socket, address)| self.start_connection(socket, address, accepted_at);
        let without_thread = accepted.filter_map(start).collect();
        self.start_all(without_thread);
    }

    /// Serves a connection that has been accepted, on a thread of its own; returns it if no thread can be had now.
    fn start_connection(
        self: &Arc<Self>,
        socket: TcpStream,
        address: SocketAddr,
        accepted_at: Instant,
    ) -> Option<WithoutThread> {
        if let Err(error) = self.configure(&socket) {
            // It was reset before it could be served.
            tracing::warn!(%address, %error, "client connection lost before it was served");
            return None;
        }
        let id = self.next_connection_id.fetch_add(1, Ordering::Relaxed) as u64;
        let connection = Connection::new(socket, id, accepted_at, self.limits.clone(), self.shared.clone());
        let connection = Arc::new(connection);
        self.connections().insert(id, connection.clone());
        self.disconnect_watcher.watch(&connection);
        let (server, own) = (self.clone(), connection.clone());
        let serve = Box::new(move || server.serve_client(&own));
        self.try_start(WithoutThread { connection, address, serve, since: Instant::now() })
    }

    /// Starts a connection's thread; returns the connection if none can be had now.
    fn try_start(&self, waiting: WithoutThread) -> Option<WithoutThread> {
        let WithoutThread { connection, address, serve, since } = waiting;
        let started =
            spawn_with_retry("client", self.limits.socket_thread_stack_bytes, Duration::ZERO, serve);
        let Err(failed) = started else { return None };
        if since.elapsed() < THREAD_START_TIMEOUT {
            return Some(WithoutThread { connection, address, serve: failed.run, since });
        }
        tracing::error!(%address, error = %failed.source, "client thread not started, connection rejected");
        self.reject(&connection);
        None
    }

    /// Tells a client that it may come again. Closed without a word, it would lose a request that it has sent already.
    fn reject(&self, connection: &Connection) {
        connection.set_close_reason(CloseReason::NoThread);
        self.connections().remove(&connection.id);
        self.handler.reject(connection);
        connection.close_after_rejection();
        self.note_closed(connection);
    }

    /// Tries once to start the threads of connections that wait for one.
    fn start_waiting(&self, without_thread: &mut Vec<WithoutThread>) {
        let waiting = std::mem::take(without_thread);
        without_thread.extend(waiting.into_iter().filter_map(|waiting| self.try_start(waiting)));
    }

    /// Starts the threads of connections that wait for one, and returns once none waits any more.
    fn start_all(&self, mut without_thread: Vec<WithoutThread>) {
        while !without_thread.is_empty() {
            self.start_waiting(&mut without_thread);
            std::thread::sleep(THREAD_RETRY_INTERVAL);
        }
    }

    fn configure(&self, socket: &TcpStream) -> io::Result<()> {
        socket.set_nonblocking(false)?;
        socket.set_nodelay(true)?;
        socket.set_write_timeout(Some(self.limits.client_write_timeout))
    }

    /// Runs on the connection's thread from its start to its end.
    fn serve_client(&self, connection: &Arc<Connection>) {
        connection.note_thread_started();
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
