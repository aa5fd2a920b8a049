//! One router of the platform.
use crate::router::RouterInstance;
use crate::time::Micros;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Where a router's process is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// It was started and does not answer yet.
    Starting {
        /// When it was started.
        since: Micros,
    },
    /// It serves.
    Running,
    /// It got a signal that ends it.
    Ending {
        /// When it got the signal.
        since: Micros,
    },
    /// It has ended.
    Gone {
        /// When another one is started.
        start_at: Micros,
    },
}

/// One router of the platform.
pub(super) struct Router {
    pub(super) instance: RouterInstance,
    pub(super) listen: SocketAddr,
    pub(super) admin: SocketAddr,
    /// The file of its configuration.
    pub(super) config: PathBuf,
    pub(super) phase: Phase,
    /// Which address of its agent the configuration names.
    pub(super) agent_address: usize,
    /// When its process is checked next.
    pub(super) next_check_at: Micros,
}

impl Router {
    pub(super) fn is_running(&self) -> bool {
        self.phase == Phase::Running
    }
}
