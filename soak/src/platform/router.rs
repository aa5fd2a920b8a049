//! A router of the platform front.
use crate::router::RouterInstance;
use crate::time::Micros;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The lifecycle phase of a router process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The process was started and is not ready yet.
    Starting {
        /// When the process was started.
        since: Micros,
    },
    /// The process is ready, or its readiness timeout has expired.
    Running,
    /// The process received SIGTERM or SIGKILL.
    Ending {
        /// When the signal was sent.
        since: Micros,
    },
    /// The process has exited.
    Exited {
        /// When the next process is started.
        restart_at: Micros,
    },
}

/// A router of the platform front.
pub(super) struct Router {
    pub(super) instance: RouterInstance,
    pub(super) listen: SocketAddr,
    pub(super) admin: SocketAddr,
    /// The path of the router's configuration.
    pub(super) config: PathBuf,
    pub(super) phase: Phase,
    /// The index of the discovery agent's address in the configuration.
    pub(super) agent_address: usize,
    /// When the process is checked next.
    pub(super) next_check_at: Micros,
}

impl Router {
    pub(super) fn is_running(&self) -> bool {
        self.phase == Phase::Running
    }
}
