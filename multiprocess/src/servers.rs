//! Fake `MySQL` servers that record the statements they run. Each group has a primary and its replicas. Each
//! server has one thread for all of its connections, so that the thousands of connections from hundreds of
//! routers need few resources.
//!
//! The servers run `INSERT INTO basket VALUES ('ID')` and `SELECT n FROM basket WHERE k = 'ID'`, and record
//! the request number ID and the tenant from `t=TENANT` in the statement's comment. A read returns the ID and
//! the server's name. The health check is `SELECT probe`.
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

/// A server and the address on which it listens.
#[derive(Clone, Debug)]
pub struct ListeningServer {
    /// Name, site, group and role of the server.
    pub server: Server,
    /// Address on which the server listens.
    pub address: SocketAddr,
}

/// All servers of a run; dropping this value stops them.
pub struct Servers {
    shared: Arc<Shared>,
    /// The servers by index.
    pub listening: Vec<ListeningServer>,
    threads: Vec<JoinHandle<()>>,
}

impl Servers {
    /// Starts the servers. Each statement takes `service_time`; timestamps are relative to `run_start`.
    ///
    /// # Errors
    /// Returns an error if the system has no free port or can't start a thread.
    pub fn start(
        servers: Vec<Server>,
        tenants: &[String],
        service_time: Duration,
        run_start: Instant,
    ) -> io::Result<Servers> {
        let shared = Arc::new(Shared::new(tenants, service_time, run_start));
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

    /// Returns the statements that have run so far.
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
