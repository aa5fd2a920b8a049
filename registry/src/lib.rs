//! Client of a service registry (etcd or Consul): follows its keys and registers this router there.
//!
//! State machines, without I/O or a clock:
//! - [`machine`] turns snapshots and watch events into an ordered sequence of changes without duplicates. It
//!   handles broken watches, repeated events and revisions that go backwards.
//! - [`fleet`] builds the node list from these changes, and decides which nodes stay usable while the
//!   registry does not respond or after many nodes disappear at once.
//! - [`endpoints`] selects the registry member for the next connection attempt.
//!
//! I/O: [`etcd`] and [`consul`] implement the two protocols, [`http`] and [`tls`] the connection, [`cache`]
//! the node list on disk, and [`client`] runs the threads. `docs/design/registry.md` explains the design.
pub mod cache;
pub mod client;
pub mod consul;
pub mod endpoints;
pub mod etcd;
pub mod fleet;
pub mod http;
pub mod machine;
pub mod tls;

use thiserror::Error;

/// Why the registry client could not be started.
#[derive(Debug, Error)]
pub enum Error {
    /// The TLS files are unreadable or invalid.
    #[error("registry: tls: {0}")]
    Tls(#[from] tls::TlsError),
    /// A thread could not be started.
    #[error("registry: cannot start a thread: {0}; raise the limit of processes of this user")]
    Thread(std::io::Error),
}

/// Why a request to the registry failed.
#[derive(Debug, Error)]
pub enum RequestError {
    /// The connection failed, or the response was truncated or timed out.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The response body exceeds the size limit.
    #[error("the response is longer than {max_bytes} bytes")]
    ResponseTooLong {
        /// The limit for a response body.
        max_bytes: u64,
    },
    /// The response violates the registry's protocol.
    #[error("{reason}")]
    InvalidResponse {
        /// How the response violates the protocol.
        reason: String,
    },
    /// The registry member knows no leader, so its data may be stale.
    #[error("the registry member knows no leader")]
    NoLeader,
    /// The registry member ended the watch.
    #[error("the registry member ended the watch")]
    WatchEnded,
    /// The requested revision has been compacted.
    #[error("the requested revision has been compacted")]
    Compacted,
    /// The registry rejected the request.
    #[error("the registry rejected the request with status {status}: {message}")]
    Rejected {
        /// The HTTP status code.
        status: u16,
        /// The registry's error text.
        message: String,
    },
}

impl From<ureq::Error> for RequestError {
    fn from(error: ureq::Error) -> Self {
        match error {
            ureq::Error::BodyExceedsLimit(max_bytes) => RequestError::ResponseTooLong { max_bytes },
            other => RequestError::Io(other.into_io()),
        }
    }
}
