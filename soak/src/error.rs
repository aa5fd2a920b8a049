//! Why a run could not be played.
use std::fmt::{self, Display, Formatter};
use std::io;
use thiserror::Error;

/// Why a run could not be played to its end.
#[derive(Debug, Error)]
pub enum RunError {
    /// A port, a folder, a thread or a process was not to be had.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Not every router of the platform answered before the load.
    #[error("not ready before the load: {}", joined(.0))]
    PlatformNotReady(Vec<LateRouter>),
    /// Not every router of `serve` accepted clients before the load.
    #[error("the routers were not ready before the load")]
    ServeNotReady,
}

/// A router that was not ready in time.
#[derive(Clone, Debug)]
pub struct LateRouter {
    /// Its index.
    pub router: usize,
    /// The address of its clients.
    pub listen: std::net::SocketAddr,
    /// The last lines of its log.
    pub last_lines: String,
}

impl Display for LateRouter {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "router {} at {}: {}", self.router, self.listen, self.last_lines)
    }
}

fn joined(late: &[LateRouter]) -> String {
    late.iter().map(LateRouter::to_string).collect::<Vec<String>>().join("; ")
}
