//! Follows a key-value registry that has revisions, watches and compaction, and registers this router there.
//!
//! State machines, without I/O or a clock:
//! - [`machine`] turns what a registry says into changes in order, once each, whatever breaks, repeats or goes back.
//! - [`fleet`] makes a node list of them and decides what still holds when the registry is silent or loses half of it.
//! - [`endpoints`] picks the member to ask next.
//!
//! Around them: [`etcd`] and [`consul`] are the dialects, [`http`] and [`tls`] the connection, [`cache`] is the list on
//! disk, and [`client`] drives all of it. `docs/design/registry.md` gives the reasons.
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

/// Why the registry can't be followed at all.
#[derive(Debug, Error)]
pub enum Error {
    /// The files for TLS can't be used.
    #[error("registry: tls: {0}")]
    Tls(#[from] tls::TlsError),
    /// No thread could be started.
    #[error("registry: no thread: {0}; raise the limit of processes of this user")]
    Thread(std::io::Error),
}

/// Why a request to a registry has failed.
#[derive(Debug, Error)]
pub enum RequestError {
    /// The connection failed, or the response was cut off or silent for too long.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The response is longer than a response may be.
    #[error("the answer is longer than {max_bytes} bytes")]
    ResponseTooLong {
        /// The longest body that is read.
        max_bytes: u64,
    },
    /// The response is not one that the registry's interface allows.
    #[error("{reason}")]
    InvalidResponse {
        /// What is wrong with it.
        reason: String,
    },
    /// The member knows no leader: its list may be stale.
    #[error("it knows no leader")]
    NoLeader,
    /// The member has ended the watch.
    #[error("the watch has ended")]
    WatchEnded,
    /// The revision asked for has been compacted away.
    #[error("the revision has been compacted away")]
    Compacted,
    /// The registry rejected the request.
    #[error("refused with {status}: {message}")]
    Rejected {
        /// The status code of its response.
        status: u16,
        /// Its own text.
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
