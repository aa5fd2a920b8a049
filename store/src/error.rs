//! Why a node does not start, or stops.
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Why a node does not start, or stops.
#[derive(Debug, Error)]
pub enum Error {
    /// The settings leave this node out.
    #[error("store: expected node {node} among its peers; list it under store.peer")]
    NotListed {
        /// This node.
        node: u64,
    },
    /// An address is not on loopback.
    #[error("store: expected addresses on loopback, found {addr}; nodes and clients talk without TLS")]
    NotLoopback {
        /// The address.
        addr: SocketAddr,
    },
    /// The folder, or the log file in it, can't be used.
    #[error("store: folder: {path}: {source}; see that it exists and is this user's")]
    Folder {
        /// The folder.
        path: PathBuf,
        /// Why not.
        source: std::io::Error,
    },
    /// Something stored is of no format that this program knows.
    #[error(
        "store: {what} is of a format that this program does not know; start the program that wrote it, or give this \
         node an empty folder while all others run, and it gets what they have"
    )]
    UnknownFormat {
        /// What is.
        what: String,
    },
    /// Entries are missing from the log.
    #[error(
        "store: entry {index} of the log follows {previous}; give this node an empty folder while all others run"
    )]
    LogGap {
        /// The entry before the gap.
        previous: u64,
        /// The entry after the gap.
        index: u64,
    },
    /// What is stored does not fit together.
    #[error("store: {what} does not fit: {source}; give this node an empty folder while all others run")]
    Inconsistent {
        /// What does not fit the rest.
        what: &'static str,
        /// Why not.
        source: raft::Error,
    },
    /// The raft library refuses to start.
    #[error("store: {0}")]
    Raft(#[from] raft::Error),
    /// An address can't be listened on.
    #[error("store: listen: {addr}: {source}; see who else listens there")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// Why not.
        source: std::io::Error,
    },
    /// No thread could be started.
    #[error("store: no thread: {0}; raise the limit of processes of this user")]
    SpawnThread(std::io::Error),
    /// What must be stored can't be: the node stops.
    #[error("store: the log can't be kept: {0}; mend the disk and restart this node")]
    LogFile(#[from] std::io::Error),
}
