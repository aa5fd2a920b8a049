//! A primary and its replicas. They share one log of commits, and each server has a position up to which it
//! has applied the log. A replica applies each commit after its replication lag, and its heartbeat shows the
//! same position; reads do not return commits that the server has not applied.
//!
//! `INSERT INTO basket VALUES ('SESSION', N)` adds an item. `SELECT n FROM basket WHERE k = 'SESSION'`
//! returns the newest item that the server has applied, and the server's name. The health check is `SELECT
//! probe`.
mod clock;
mod connection;
mod server;
mod shared;

pub use clock::{Micros, unix_micros};
pub use server::Counts;

use server::Server;
use shared::Shared;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The servers of a group by index; index 0 is the initial primary. Clones are handles to the same servers.
#[derive(Clone)]
pub struct ReplicationGroup {
    shared: Arc<Shared>,
}

impl ReplicationGroup {
    /// Starts the server `primary`, and a replica for each lag, named `replica-1` and so on. `heartbeat` is
    /// the interval between two heartbeats.
    ///
    /// # Panics
    /// Panics if the system has no free port on loopback.
    pub fn start(lags: &[Duration], heartbeat: Duration) -> ReplicationGroup {
        let group = ReplicationGroup { shared: Arc::new(Shared::new(heartbeat)) };
        group.add("primary".into(), false, Duration::ZERO);
        for (index, lag) in lags.iter().enumerate() {
            group.add(format!("replica-{}", index + 1), true, *lag);
        }
        group
    }

    fn add(&self, name: String, read_only: bool, lag: Duration) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free port on loopback");
        let address = listener.local_addr().expect("listener has no local address");
        let index = self.shared.add(Server::new(name, address, read_only, lag));
        let shared = self.shared.clone();
        std::thread::spawn(move || accept(&shared, index, &listener));
    }

    /// Returns the name and the address of each server.
    pub fn servers(&self) -> Vec<(String, SocketAddr)> {
        self.shared.state().servers.iter().map(|server| (server.name.clone(), server.address)).collect()
    }

    /// Sets a replica's replication lag.
    pub fn set_lag(&self, server: usize, lag: Duration) {
        self.shared.update(server, |server| server.set_lag(lag));
    }

    /// Stops replication on all replicas: they apply no further commits.
    pub fn stop_replication(&self) {
        let now = unix_micros();
        let mut state = self.shared.state();
        let replicas = state.servers.iter_mut().filter(|server| server.read_only);
        replicas.for_each(|replica| replica.stop_replication(now));
    }

    /// Hangs a server, which then responds only to probes, or ends the hang.
    pub fn set_hung(&self, server: usize, hung: bool) {
        self.shared.update(server, |server| server.hung = hung);
    }

    /// Returns the number of statements that wait on a hung server; each blocks a connection of a router.
    pub fn blocked_statements(&self, server: usize) -> usize {
        self.shared.state().servers[server].blocked_statements
    }

    /// Starts or stops withholding the responses of writes. The writes run in either case.
    pub fn withhold_write_responses(&self, server: usize, withhold: bool) {
        self.shared.update(server, |server| server.withholds_responses = withhold);
    }

    /// Waits until `writes` writes have run whose responses were withheld; returns `false` if the wait times
    /// out.
    pub fn wait_for_withheld_responses(&self, writes: usize, timeout: Duration) -> bool {
        self.shared.wait_for_withheld_responses(writes, timeout)
    }

    /// Shuts down the primary permanently, and promotes a replica, which then has all commits.
    pub fn promote(&self, replica: usize) {
        let mut state = self.shared.state();
        state.servers.iter_mut().filter(|server| !server.read_only).for_each(Server::shut_down);
        state.servers[replica].promote();
        drop(state);
        self.shared.notify();
    }

    /// Returns the items that were written, by session, in commit order.
    pub fn writes_by_session(&self) -> Vec<(String, Vec<u64>)> {
        self.shared.state().log.iter().map(|(session, log)| (session.clone(), log.items())).collect()
    }

    /// Returns the counts of statements that a server has handled.
    pub fn counts(&self, server: usize) -> Counts {
        self.shared.state().servers[server].counts
    }

    /// Returns the time of a server's last read; `None` if it has had no read.
    pub fn last_read(&self, server: usize) -> Option<Instant> {
        self.shared.state().servers[server].last_read
    }
}

/// Accepts a server's connections and starts a thread for each.
fn accept(shared: &Arc<Shared>, server: usize, listener: &TcpListener) {
    for socket in listener.incoming().map_while(Result::ok) {
        if let Ok(handle) = socket.try_clone() {
            shared.state().servers[server].connections.push(handle);
        }
        let shared = shared.clone();
        std::thread::spawn(move || _ = connection::serve(&shared, server, &socket));
    }
}
