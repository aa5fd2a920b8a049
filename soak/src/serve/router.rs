//! One router of `serve`, with its proxies.
use crate::router::RouterInstance;
use crate::time::Micros;
use std::path::PathBuf;
use test_servers::proxy::Proxy;

/// Where a router's process is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// It was started and does not accept clients yet.
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
}

/// One router of `serve`.
pub(super) struct Router {
    pub(super) instance: RouterInstance,
    /// The file of its configuration.
    pub(super) config: PathBuf,
    pub(super) phase: Phase,
    /// The proxies in front of the servers, in their order.
    pub(super) proxies: Vec<Proxy>,
}

impl Router {
    pub(super) fn is_ending(&self) -> bool {
        matches!(self.phase, Phase::Ending { .. })
    }
}
