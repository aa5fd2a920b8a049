//! Fake `MySQL` servers that record what they run: a primary and its replicas for each group, a thread for each server
//! and none for a connection, so that some thousand connections of hundreds of routers cost little.
//!
//! `INSERT INTO basket VALUES ('ID')` and `SELECT n FROM basket WHERE k = 'ID'` are run and recorded by the number ID
//! and the comment's `t=TENANT`; a read returns its ID and the server's name. The probe is `SELECT probe`.
mod server_thread;
mod shared;

use crate::history::{Server, Statement};
use mio::net::TcpListener;
use server_thread::ServerThread;
use shared::Shared;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const THREAD_STACK_BYTES: usize = 256 << 10;

/// A server that listens.
#[derive(Clone, Debug)]
pub struct ListeningServer {
    /// What it is.
    pub server: Server,
    /// Where it listens.
    pub address: SocketAddr,
}

/// The servers of a run; dropping this ends them.
pub struct Servers {
    shared: Arc<Shared>,
    /// The servers, in the order of their indexes.
    pub listening: Vec<ListeningServer>,
    threads: Vec<JoinHandle<()>>,
}

impl Servers {
    /// Starts them. A statement takes `service_time`; times count from `epoch`.
    ///
    /// # Errors
    /// The system has no port or no thread left.
    pub fn start(
        servers: Vec<Server>,
        tenants: &[String],
        service_time: Duration,
        epoch: Instant,
    ) -> io::Result<Servers> {
        let shared = Arc::new(Shared::new(tenants, service_time, epoch));
        let mut started = Servers { shared: shared.clone(), listening: Vec::new(), threads: Vec::new() };
        for (index, server) in servers.into_iter().enumerate() {
            let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
            let address = listener.local_addr()?;
            started.listening.push(ListeningServer { server: server.clone(), address });
            let server = ServerThread::new(index, server, listener, shared.clone())?;
            let thread = std::thread::Builder::new().name("server".into()).stack_size(THREAD_STACK_BYTES);
            started.threads.push(thread.spawn(move || server.run())?);
        }
        Ok(started)
    }

    /// The statements that have run.
    pub fn statements(&self) -> Vec<Statement> {
        self.shared.statements()
    }
}

impl Drop for Servers {
    fn drop(&mut self) {
        self.shared.stop();
        self.threads.drain(..).for_each(|thread| _ = thread.join());
    }
}
