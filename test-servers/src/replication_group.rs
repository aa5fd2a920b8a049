//! A primary and its replicas: one log of commits, and for each server how much of it has been applied. A replica shows
//! what was committed a lag ago, as its heartbeat reports; nothing is shown that it has not applied.
//!
//! Statements: `INSERT INTO basket VALUES ('SESSION', N)` adds an item, `SELECT n FROM basket WHERE k = 'SESSION'`
//! returns the newest item that this server shows and the server's name; the probe is `SELECT probe`.
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

/// The servers of a group, by index: the primary is the first one. Clones are handles to the same servers.
#[derive(Clone)]
pub struct ReplicationGroup {
    shared: Arc<Shared>,
}

impl ReplicationGroup {
    /// Starts `primary` and a replica for each lag, `replica-1` and so on. Heartbeats are written at this interval.
    ///
    /// # Panics
    /// The system has no free port on loopback.
    pub fn start(lags: &[Duration], heartbeat: Duration) -> ReplicationGroup {
        let group = ReplicationGroup { shared: Arc::new(Shared::new(heartbeat)) };
        group.add("primary".into(), false, Duration::ZERO);
        for (index, lag) in lags.iter().enumerate() {
            group.add(format!("replica-{}", index + 1), true, *lag);
        }
        group
    }

    fn add(&self, name: String, read_only: bool, lag: Duration) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port on loopback");
        let address = listener.local_addr().expect("its address");
        let index = self.shared.add(Server::new(name, address, read_only, lag));
        let shared = self.shared.clone();
        std::thread::spawn(move || accept(&shared, index, &listener));
    }

    /// Name and address of each server.
    pub fn servers(&self) -> Vec<(String, SocketAddr)> {
        self.shared.state().servers.iter().map(|server| (server.name.clone(), server.address)).collect()
    }

    /// Sets how far a replica lags.
    pub fn set_lag(&self, server: usize, lag: Duration) {
        self.shared.update(server, |server| server.set_lag(lag));
    }

    /// Stops replication at all replicas: they show what was committed up to now and nothing else.
    pub fn stop_replication(&self) {
        let now = unix_micros();
        let mut state = self.shared.state();
        let replicas = state.servers.iter_mut().filter(|server| server.read_only);
        replicas.for_each(|replica| replica.stop_replication(now));
    }

    /// Makes a server answer probes only, or all statements again.
    pub fn set_hung(&self, server: usize, hung: bool) {
        self.shared.update(server, |server| server.hung = hung);
    }

    /// Statements that wait at a hung server: connections of routers that are in use there.
    pub fn blocked_statements(&self, server: usize) -> usize {
        self.shared.state().servers[server].blocked_statements
    }

    /// Withholds the answers of writes, which run all the same, or sends them again.
    pub fn withhold_write_answers(&self, server: usize, withhold: bool) {
        self.shared.update(server, |server| server.withholds_answers = withhold);
    }

    /// Waits until this many writes have run whose answers were withheld; `false` at the timeout.
    pub fn wait_for_withheld_answers(&self, writes: usize, timeout: Duration) -> bool {
        self.shared.wait_for_withheld_answers(writes, timeout)
    }

    /// Ends the primary for good; a replica that has all its commits takes over.
    pub fn promote(&self, replica: usize) {
        let mut state = self.shared.state();
        state.servers.iter_mut().filter(|server| !server.read_only).for_each(Server::shut_down);
        state.servers[replica].promote();
        drop(state);
        self.shared.notify();
    }

    /// The writes that have run, by session, in the order of their commits.
    pub fn writes_by_session(&self) -> Vec<(String, Vec<u64>)> {
        self.shared.state().log.iter().map(|(session, log)| (session.clone(), log.items())).collect()
    }

    /// What a server has done.
    pub fn counts(&self, server: usize) -> Counts {
        self.shared.state().servers[server].counts
    }

    /// When a server got its last read; `None` where it got none.
    pub fn last_read(&self, server: usize) -> Option<Instant> {
        self.shared.state().servers[server].last_read
    }
}

/// Accepts a server's connections, a thread each.
fn accept(shared: &Arc<Shared>, server: usize, listener: &TcpListener) {
    for socket in listener.incoming().map_while(Result::ok) {
        if let Ok(handle) = socket.try_clone() {
            shared.state().servers[server].connections.push(handle);
        }
        let shared = shared.clone();
        std::thread::spawn(move || _ = connection::serve(&shared, server, &socket));
    }
}
