//! The state of one server: its role and replication, its injected faults, and its counters.
use super::clock::{Micros, unix_micros};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// What a server has done since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Reads answered.
    pub reads: usize,
    /// Writes run.
    pub writes: usize,
    /// Probes answered.
    pub probes: usize,
}

/// One server of the group.
pub(super) struct Server {
    pub(super) name: String,
    pub(super) address: SocketAddr,
    pub(super) read_only: bool,
    lag: Micros,
    /// The commit time up to which it had applied the log when its lag was changed.
    applied_before: Micros,
    /// It applies nothing that was committed later.
    replication_stopped_at: Option<Micros>,
    /// It answers nothing but probes.
    pub(super) hung: bool,
    /// It has ended: it answers nothing and accepts no connection.
    pub(super) shut_down: bool,
    /// Writes run, and their answers are withheld.
    pub(super) withholds_answers: bool,
    pub(super) connections: Vec<TcpStream>,
    /// Statements that wait for an answer while it hangs.
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
            applied_before: 0,
            replication_stopped_at: None,
            hung: false,
            shut_down: false,
            withholds_answers: false,
            connections: Vec::new(),
            blocked_statements: 0,
            counts: Counts::default(),
            last_read: None,
        }
    }

    /// The commit time up to which it has applied the log.
    pub(super) fn applied(&self, now: Micros) -> Micros {
        (now - self.lag).max(self.applied_before).min(self.replication_stopped_at.unwrap_or(now))
    }

    /// Changes its lag. What is applied is never undone, however far behind it is from now on.
    pub(super) fn set_lag(&mut self, lag: Duration) {
        self.applied_before = self.applied(unix_micros());
        self.lag = lag.as_micros() as Micros;
    }

    /// Stops applying the log at what it has applied by now.
    pub(super) fn stop_replication(&mut self, now: Micros) {
        self.replication_stopped_at = Some(now - self.lag);
    }

    /// Makes a replica the primary, with all commits.
    pub(super) fn promote(&mut self) {
        self.read_only = false;
        self.lag = 0;
        self.replication_stopped_at = None;
    }

    /// Shuts it down for good, with its connections.
    pub(super) fn shut_down(&mut self) {
        self.read_only = true;
        self.shut_down = true;
        self.connections.drain(..).for_each(|socket| _ = socket.shutdown(Shutdown::Both));
    }
}
