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
    /// The connection failed, or the response is not a valid one.
    #[error("{0}")]
    Broken(String),
    /// The revision asked for has been compacted away.
    #[error("the revision has been compacted away")]
    Compacted,
    /// The registry refused: its status code and text.
    #[error("refused with {0}: {1}")]
    Refused(u16, String),
}

impl From<ureq::Error> for RequestError {
    fn from(e: ureq::Error) -> Self {
        RequestError::Broken(match e {
            ureq::Error::BodyExceedsLimit(max_bytes) => {
                format!("the answer is longer than {max_bytes} bytes")
            }
            other => other.into_io().to_string(),
        })
    }
}

impl From<std::io::Error> for RequestError {
    fn from(e: std::io::Error) -> Self {
        RequestError::Broken(e.to_string())
    }
}
