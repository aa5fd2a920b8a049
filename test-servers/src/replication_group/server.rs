//! The state of a server: its role, its replication, its injected faults and its counters.
use super::clock::{Micros, unix_micros};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Counts of the statements that a server has handled since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Number of reads that the server ran.
    pub reads: usize,
    /// Number of writes that the server ran.
    pub writes: usize,
    /// Number of probes that the server responded to.
    pub probes: usize,
}

/// A server of a replication group.
pub(super) struct Server {
    pub(super) name: String,
    pub(super) address: SocketAddr,
    pub(super) read_only: bool,
    lag: Micros,
    /// Commit time up to which the server had applied the log when its lag was last changed.
    min_applied: Micros,
    /// Commit time up to which the server applies the log after replication was stopped.
    replication_stopped_at: Option<Micros>,
    /// Whether the server hangs: it responds only to probes.
    pub(super) hung: bool,
    /// Whether the server was shut down: it sends no responses and accepts no connections.
    pub(super) shut_down: bool,
    /// Whether writes run without their responses being sent.
    pub(super) withholds_responses: bool,
    pub(super) connections: Vec<TcpStream>,
    /// Number of statements that wait while the server hangs.
    pub(super) blocked_statements: usize,
    pub(super) counts: Counts,
    pub(super) last_read: Option<Instant>,
}

impl Server {
    pub(super) fn new(name: String, address: SocketAddr, read_only: bool, lag: Duration) -> Server {
        Server {
            name,
            address,
            read_only,
            lag: lag.as_micros() as Micros,
            min_applied: 0,
            replication_stopped_at: None,
            hung: false,
            shut_down: false,
            withholds_responses: false,
            connections: Vec::new(),
            blocked_statements: 0,
            counts: Counts::default(),
            last_read: None,
        }
    }

    /// Returns the commit time up to which the server has applied the log.
    pub(super) fn applied_until(&self, now: Micros) -> Micros {
        (now - self.lag).max(self.min_applied).min(self.replication_stopped_at.unwrap_or(now))
    }

    /// Changes the replication lag. Applied commits stay applied, however large the new lag is.
    pub(super) fn set_lag(&mut self, lag: Duration) {
        self.min_applied = self.applied_until(unix_micros());
        self.lag = lag.as_micros() as Micros;
    }

    /// Stops replication at the position that the server has applied by `now`.
    pub(super) fn stop_replication(&mut self, now: Micros) {
        self.replication_stopped_at = Some(now - self.lag);
    }

    /// Makes a replica the primary, which has all commits.
    pub(super) fn promote(&mut self) {
        self.read_only = false;
        self.lag = 0;
        self.replication_stopped_at = None;
    }

    /// Shuts the server down permanently and closes its connections.
    pub(super) fn shut_down(&mut self) {
        self.read_only = true;
        self.shut_down = true;
        self.connections.drain(..).for_each(|socket| _ = socket.shutdown(Shutdown::Both));
    }
}
