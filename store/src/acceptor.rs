//! Accepts connections up to a limit, with one thread for each.
use crate::threads::{ACCEPT_RETRY_DELAY, spawn};
use crate::wire::WireError;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Counts one open connection until it is dropped.
struct ConnectionSlot(Arc<AtomicU64>);

impl ConnectionSlot {
    fn acquire(open: &Arc<AtomicU64>) -> ConnectionSlot {
        open.fetch_add(1, Ordering::Relaxed);
        ConnectionSlot(open.clone())
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Starts a thread that accepts connections until the listener fails, and serves each connection on its own
/// thread. `service` names the threads and appears in log events. While `max_connections` are open, new
/// connections are passed to `reject`, which must not block.
///
/// # Errors
/// Fails if the accepting thread cannot be started.
pub fn accept(
    listener: TcpListener,
    service: &'static str,
    max_connections: u64,
    reject: impl Fn(&TcpStream) + Send + 'static,
    serve: impl Fn(&TcpStream) -> Result<(), WireError> + Clone + Send + 'static,
) -> io::Result<()> {
    let open = Arc::new(AtomicU64::new(0));
    let accept_all = move || {
        for socket in listener.incoming() {
            let Ok(socket) = socket else {
                std::thread::sleep(ACCEPT_RETRY_DELAY);
                continue;
            };
            if open.load(Ordering::Relaxed) >= max_connections {
                // The rejection fits into the socket's send buffer, so a client that does not read cannot
                // block this thread.
                _ = socket.set_nonblocking(true);
                reject(&socket);
                continue;
            }
            start_connection(service, socket, ConnectionSlot::acquire(&open), serve.clone());
        }
    };
    spawn(&format!("{service}-clients"), accept_all)
}

fn start_connection(
    service: &'static str,
    socket: TcpStream,
    slot: ConnectionSlot,
    serve: impl FnOnce(&TcpStream) -> Result<(), WireError> + Send + 'static,
) {
    let run = move || {
        let _slot = slot;
        if let Err(error) = serve(&socket) {
            tracing::debug!(service, %error, "service connection closed");
        }
    };
    if let Err(error) = spawn(&format!("{service}-client"), run) {
        tracing::error!(
            service,
            %error,
            "service connection thread not started, connection closed; raise this user's process limit"
        );
    }
}
