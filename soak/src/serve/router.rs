//! A router of `serve` with its proxies.
use crate::router::RouterInstance;
use crate::time::Micros;
use std::path::PathBuf;
use test_servers::proxy::Proxy;

/// The lifecycle phase of a router process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The process was started and does not accept client connections yet.
    Starting {
        /// When the process was started.
        since: Micros,
    },
    /// The process accepts client connections, or its readiness timeout has expired.
    Running,
    /// The process received SIGTERM or SIGKILL.
    Ending {
        /// When the signal was sent.
        since: Micros,
    },
}

/// A router of `serve`.
pub(super) struct Router {
    pub(super) instance: RouterInstance,
    /// The path of the router's configuration.
    pub(super) config: PathBuf,
    pub(super) phase: Phase,
    /// This router's proxies in front of the servers, in the order of the servers.
    pub(super) proxies: Vec<Proxy>,
}

impl Router {
    pub(super) fn is_ending(&self) -> bool {
        matches!(self.phase, Phase::Ending { .. })
    }
}
