//! Errors that prevent a run.
use std::fmt::{self, Display, Formatter};
use std::io;
use thiserror::Error;

/// An error that prevented a run from starting or finishing.
#[derive(Debug, Error)]
pub enum RunError {
    /// A socket, a file or folder, a thread or a process could not be created or used.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Not every router of the platform front responded to the readiness probe before the load.
    #[error("routers not ready before the load: {}", join_descriptions(.0))]
    PlatformNotReady(Vec<UnreadyRouter>),
    /// Not every router of `serve` accepted client connections before the load.
    #[error("not every router accepted client connections before the load")]
    ServeNotReady,
}

/// A router that was not ready within the timeout.
#[derive(Clone, Debug)]
pub struct UnreadyRouter {
    /// The index of the router that was not ready.
    pub router: usize,
    /// The router's address for clients.
    pub listen: std::net::SocketAddr,
    /// The last lines of the router's log.
    pub last_lines: String,
}

impl Display for UnreadyRouter {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "router {} at {}: {}", self.router, self.listen, self.last_lines)
    }
}

fn join_descriptions(routers: &[UnreadyRouter]) -> String {
    routers.iter().map(UnreadyRouter::to_string).collect::<Vec<String>>().join("; ")
}
